// Package peerpb is the generated code of the messages between VMs. "make
// generate" makes it again from peer.proto.
package peerpb
