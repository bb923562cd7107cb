package slotshare

// Claim is the request of one process for slots of a pool.
type Claim struct {
	// Size is the weight of the process. A value below 1 counts as 1.
	Size int
	// Demand is the number of slots that the process can use.
	Demand int
}

// Apportion divides the slots among the claims and returns the part of each. No
// part exceeds its demand, the sum of the parts does not exceed the slots, and no
// slot stays unassigned while there is unmet demand. A claim whose demand is below
// its share by size gets its demand. The others divide the remaining slots in
// proportion to size, to within one slot.
func Apportion(slots int, claims []Claim) []int {
	parts := make([]int, len(claims))
	for left := slots; left > 0; left-- {
		best := -1
		for i, cl := range claims {
			if parts[i] >= cl.Demand {
				continue
			}
			// Compares (parts+1)/size without division.
			if best < 0 || (parts[i]+1)*max(1, claims[best].Size) < (parts[best]+1)*max(1, cl.Size) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		parts[best]++
	}
	return parts
}
