//! Tests that all embedded charts compile against the code.

use parsleylatch_decide::verify;

#[test]
fn verify_every_chart() {
    verify::charts().unwrap();
}
