use super::KeyHash;

#[test]
fn a_hash_round_trips_through_its_hexadecimal_form() {
    let hash = KeyHash::of("demo-key");
    assert!(KeyHash::from_hex(&hash.to_hex()) == Some(hash));
}

#[test]
fn the_hash_of_the_demo_key_matches_the_demo_configuration() {
    expect_test::expect!["84d53ce2f18ae4856edfe631810f984b8c78bf3c0e136bac89e45642c5c85b37"]
        .assert_eq(&KeyHash::of("demo-key").to_hex());
}

#[test]
fn debug_output_hides_the_hash() {
    assert_eq!(format!("{:?}", KeyHash::of("demo-key")), "KeyHash(..)");
}
