//! Every embedded chart fits the code.

use parsleylatch_decide::charts;

#[test]
fn verify_every_chart() {
    charts::verify().unwrap();
}
