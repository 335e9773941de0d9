package storesync

import (
	"cmp"
	"fmt"
)

// Revision is a state of the store. A store that is restored from a copy starts a new
// era, in which numbers are given out again.
type Revision struct {
	Era    uint64 // 0: the store names none
	Number uint64 // 0: nothing was read in the era
}

// Compare orders revisions by era and number.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// Before reports whether r is an earlier state than other.
func (r Revision) Before(other Revision) bool { return r.Compare(other) < 0 }

// String returns the era and the number, separated by a slash.
func (r Revision) String() string { return fmt.Sprintf("%d/%d", r.Era, r.Number) }
