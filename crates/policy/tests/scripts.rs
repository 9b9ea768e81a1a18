//! Scripted scenarios of the controller, each with its expected outcome beside
//! it, in `tests/scripts`.

#![allow(missing_docs)]

mod script;

use script::Script;

#[test]
fn scripts_produce_the_expected_output() {
    datadriven::walk("tests/scripts", |file| {
        let mut script = Script::new();
        file.run(|case| script.run(case));
    });
}
