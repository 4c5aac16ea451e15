//! A small valid configuration tree, shared by the tests of the checks.

use comfreybay::{
    commands::check::Tree,
    coordination::check::{Fault, check},
};

/// The files of the tree: path and contents.
pub const FILES: [(&str, &str); 5] = [
    (
        "a/deployment.yaml",
        "kind: Deployment\nname: d\nowner: a\nfavour: goodput\nzones:\n  - name: z1\n    region: r\n  \
         - name: z2\n    region: r\n",
    ),
    ("a/owner.yaml", "kind: Owner\nname: a\ncontact: ext. 1\n"),
    (
        "a/rules.yaml",
        "kind: Class\nname: book\nowner: a\nimportance: 0\nimportant: true\nrepeatable: false\n\
         deadline_ms: 3000\nretries: 2\n---\n\
         kind: Class\nname: browse\nowner: a\nimportance: 4\ndeadline_ms: 1000\nretries: 1\n---\n\
         kind: Chain\nname: booking\nowner: a\nclass: book\nentry: front\nmethod: POST\n\
         path: /book\ncalls:\n  front: [deep]\n---\n\
         kind: Chain\nname: reading\nowner: a\nclass: browse\nentry: front\nmethod: GET\n\
         path: /read\n---\n\
         kind: Limit\nname: few\nowner: a\nservice: front\nclass: browse\nin_flight: 5\n",
    ),
    ("b/owner.yaml", "kind: Owner\nname: b\ncontact: ext. 2\n"),
    (
        "b/services.yaml",
        "kind: Service\nname: front\nowner: b\n---\n\
         kind: Upstream\nname: front-1\nowner: b\nservice: front\nzone: z1\n\
         public: 127.0.1.1:7000\npeer: 127.0.1.1:7001\ncontrol: 127.0.1.1:7002\n\
         slots: 10\nconnections: 20\n---\n\
         kind: Upstream\nname: front-2\nowner: b\nservice: front\nzone: z2\n\
         public: 127.0.1.2:7000\npeer: 127.0.1.2:7001\ncontrol: 127.0.1.2:7002\n\
         slots: 10\nconnections: 20\n---\n\
         kind: Service\nname: deep\nowner: b\n---\n\
         kind: Upstream\nname: deep-1\nowner: b\nservice: deep\nzone: z1\n\
         public: 127.0.2.1:7000\npeer: 127.0.2.1:7001\ncontrol: 127.0.2.1:7002\n\
         slots: 4\nconnections: 8\n---\n\
         kind: Upstream\nname: deep-2\nowner: b\nservice: deep\nzone: z2\n\
         public: 127.0.2.2:7000\npeer: 127.0.2.2:7001\ncontrol: 127.0.2.2:7002\n\
         slots: 4\nconnections: 8\n",
    ),
];

/// Reads files as a tree and checks it; faults within single objects come first.
pub fn read<'a>(files: impl IntoIterator<Item = (&'a str, &'a [u8])>) -> (Tree, Vec<Fault>) {
    let mut tree = Tree::default();
    for (path, bytes) in files {
        tree.add(path.to_owned(), path.to_owned(), bytes);
    }
    let mut faults = std::mem::take(&mut tree.faults);
    faults.extend(check(&tree.set));
    (tree, faults)
}
