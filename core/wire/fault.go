package wire

import (
	"time"

	"citronledge.example/core/fault"
)

// NewFault converts a fault into its message; nil gives nil.
func NewFault(f *fault.Fault) *Fault {
	if f == nil {
		return nil
	}
	return &Fault{Kind: string(f.Kind), Message: f.Message, Retry: uint32(f.RetryAfter / time.Millisecond)}
}

// Err converts the message back into a fault; a nil message gives nil.
func (x *Fault) Err() error {
	if x == nil {
		return nil
	}
	return &fault.Fault{
		Kind:       fault.Kind(x.GetKind()),
		Message:    x.GetMessage(),
		RetryAfter: time.Duration(x.GetRetry()) * time.Millisecond,
	}
}
