//! The command-line interface.
#![allow(missing_docs, reason = "the macro generates the structs, whose help texts document them")]

use std::{net::SocketAddr, path::PathBuf};

xflags::xflags! {
    /// Validates, applies and shows ryetide's configuration, and reads its statistics.
    /// Exit codes: 0 success, 1 failure, 2 wrong usage, 3 the text is invalid, 4 the edit conflicts
    /// with another, 5 it is not known whether the edit took effect.
    cmd ryetide {
        /// Prints JSON for scripts.
        optional --json

        /// Validates a services text, a routes text, or a daemon's settings, and reports all errors.
        cmd check {
            /// The file.
            required file: PathBuf
            /// The file holds a daemon's settings.
            optional --settings
            /// The file holds a gateway's routes.
            optional --routes
        }
        /// Generates the keys for connections between a deployment's daemons: authority.pem, peer.pem
        /// and peer.key, to be installed on every entry VM.
        cmd keys {
            /// The existing directory for the files.
            required directory: PathBuf
        }
        /// Shows the timeline of one request from gateway logs on standard input. The logs of several
        /// VMs may be concatenated.
        cmd explain {
            /// The request's id as given by its caller, or the name of a service for its rollout orders.
            required id: String
        }
        /// Applies a services text. It is in force on all VMs within seconds.
        cmd apply {
            /// The file.
            required file: PathBuf
            /// The operators' address of any daemon.
            required --daemon address: SocketAddr
            /// The revision on which the text is based. The default is the revision in force.
            optional --base revision: u64
        }
        /// Shows the services text in force, and the revision on each entry VM.
        cmd show {
            /// The operators' address of any daemon.
            required --daemon address: SocketAddr
        }
        /// Shows a daemon's current state.
        cmd status {
            /// The operators' address of the daemon.
            required --daemon address: SocketAddr
        }
        /// Shows a daemon's counts and times by tier and by organisation.
        cmd report {
            /// The operators' address of the daemon.
            required --daemon address: SocketAddr
        }
        /// Runs a small deployment on embedded stand-ins and prints the outcomes of its requests.
        cmd demo {}
    }
}
