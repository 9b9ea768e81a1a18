//! `rhubarbcovectl`: the command-line program for operators.

fn main() -> eyre::Result<()> {
    let command = operator::command().run();
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?
        .block_on(command.run())
}
