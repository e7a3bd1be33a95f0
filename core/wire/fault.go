package wire

import (
	"time"

	"citronledge.example/core/fault"
)

// NewFault converts a fault into its message. It returns nil for nil.
func NewFault(f *fault.Fault) *Fault {
	if f == nil {
		return nil
	}
	return &Fault{Kind: string(f.Kind), Message: f.Message, Retry: uint32(f.RetryAfter / time.Millisecond)}
}

// Err converts the message back into a fault. It returns nil for a nil message.
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
