//! Runs the scripted scenarios of the controller in `tests/scripts`. Each script contains its
//! expected output.

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
