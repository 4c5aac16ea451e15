//! Guards the publication format against parts that do not depend on content alone.

use comfreybay::state::{
    id::{Digest, Revision},
    object::Deployment,
    publication::{Bucket, Publication, decode, encode},
};

fn deployment() -> Deployment {
    let json = r#"{"name":"d","owner":"o","favour":"goodput","zones":[]}"#;
    serde_json::from_str(json).expect("valid deployment")
}

/// Guards against a publication whose digest changes from run to run.
#[test]
fn same_content_same_digest() {
    let first = Publication::new(Revision(1), deployment(), vec![]);
    let second = Publication::new(Revision(1), deployment(), vec![]);
    assert_eq!(first.head.digest(), second.head.digest());
}

/// Guards against accepting content that was altered on its way.
#[test]
fn altered_content_is_refused() {
    let bytes = encode(&Bucket::default());
    let other = Digest::of(b"other");
    assert!(decode::<Bucket>("bucket", other, &bytes).is_err());
    assert!(decode::<Bucket>("bucket", Digest::of(&bytes), &bytes).is_ok());
}
