//! The command line's grammar.
#![allow(missing_docs, reason = "the macro writes the structs, and its help says what each is")]

use std::{net::SocketAddr, path::PathBuf};

xflags::xflags! {
    /// Checks, applies and shows ryetide's configuration, and reads what was measured.
    /// Exit codes: 0 done, 1 failed, 2 wrong usage, 3 the text is at fault, 4 the edit collided with
    /// another, 5 it cannot be said whether the edit took effect.
    cmd ryetide {
        /// Prints JSON, for scripts.
        optional --json

        /// Checks a services text, a routes text, or a daemon's settings, whole.
        cmd check {
            /// The file.
            required file: PathBuf
            /// The file holds a daemon's settings.
            optional --settings
            /// The file holds a gateway's routes.
            optional --routes
        }
        /// Makes the keys by which a deployment's daemons know each other: authority.pem, peer.pem and
        /// peer.key, to be put on every entry VM.
        cmd keys {
            /// Where the files go; it must exist.
            required directory: PathBuf
        }
        /// Tells the story of one request from a gateway's logs, read from standard input; logs of
        /// several VMs may be put together.
        cmd explain {
            /// The request's id, as its caller gave it.
            required id: String
        }
        /// Has a services text accepted. It is then in force everywhere within seconds.
        cmd apply {
            /// The file.
            required file: PathBuf
            /// The operators' address of any daemon.
            required --daemon address: SocketAddr
            /// The revision that the text was made from; without it, the one in force now.
            optional --base revision: u64
        }
        /// Shows the services text in force, and the revision on each entry VM.
        cmd show {
            /// The operators' address of any daemon.
            required --daemon address: SocketAddr
        }
        /// Shows what a daemon holds now.
        cmd status {
            /// The operators' address of the daemon.
            required --daemon address: SocketAddr
        }
        /// Shows a daemon's counts and times by tier and by organisation.
        cmd report {
            /// The operators' address of the daemon.
            required --daemon address: SocketAddr
        }
        /// Plays a small deployment on embedded stand-ins and prints what its callers got.
        cmd demo {}
    }
}
