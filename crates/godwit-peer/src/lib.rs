//! The protocol between entry hosts: postcard over UDP and TCP.
