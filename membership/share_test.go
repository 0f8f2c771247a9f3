package membership

import (
	"fmt"
	"math"
	"testing"
)

// The shares of all VMs must add up to one, also when some VMs are lost, and each key
// must have holders of its own.
func TestSharesAddUp(t *testing.T) {
	for _, vms := range []int{1, 6, 78, 295} {
		for _, holders := range []int{0, 2, 6, 1000} {
			var names []string
			for i := range vms {
				names = append(names, fmt.Sprint("vm-", i))
			}
			for key := range 20 {
				sum, count := 0.0, 0
				for _, name := range names {
					if share := Share(name, names, fmt.Sprint("target-", key), holders); share > 0 {
						sum, count = sum+share, count+1
					}
				}
				if want := max(1, min(holders, vms)); count != want || math.Abs(sum-1) > 1e-9 {
					t.Errorf("%d VMs, %d holders: got %d with a sum of %v, want %d and 1", vms, holders, count, sum, want)
				}
			}
		}
	}
}
