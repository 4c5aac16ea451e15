//! Guards the publication format: digests depend on content alone and are verified.

use comfreybay::state::{
    id::{Digest, Revision},
    object::Deployment,
    publication::{Bucket, Publication, decode, encode},
};

fn deployment() -> Deployment {
    let json = r#"{"name":"d","owner":"o","favour":"goodput","zones":[]}"#;
    serde_json::from_str(json).expect("valid deployment")
}

/// Guards against a digest that differs between publications of the same content.
#[test]
fn same_content_same_digest() {
    let first = Publication::new(Revision(1), deployment(), vec![]);
    let second = Publication::new(Revision(1), deployment(), vec![]);
    assert_eq!(first.head.digest(), second.head.digest());
}

/// Guards against accepting content that does not match its digest.
#[test]
fn altered_content_is_refused() {
    let bytes = encode(&Bucket::default());
    let other = Digest::of(b"other");
    assert!(decode::<Bucket>("bucket", other, &bytes).is_err());
    assert!(decode::<Bucket>("bucket", Digest::of(&bytes), &bytes).is_ok());
}
