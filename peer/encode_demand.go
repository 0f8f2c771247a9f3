package peer

import (
	"math"

	"github.com/bramleygw/bramleygw/admission"
	"github.com/bramleygw/bramleygw/peer/peerpb"
)

// encodeDemands encodes whole tokens, which take few bytes.
func encodeDemands(demands []admission.Demand) []*peerpb.ServiceDemand {
	encoded := make([]*peerpb.ServiceDemand, len(demands))
	for i, demand := range demands {
		encoded[i] = &peerpb.ServiceDemand{Service: demand.Service, Vms: uint32(demand.VMs), Placed: wholeTokens(demand.Placed), TurnedAway: wholeTokens(demand.TurnedAway)}
		for _, count := range demand.Counts {
			encoded[i].Accounts = append(encoded[i].Accounts, &peerpb.AccountDemand{Account: count.Account, Level: uint32(count.Level), Asked: wholeTokens(count.Asked)})
		}
	}
	return encoded
}

func wholeTokens(tokens float64) uint32 {
	return uint32(min(math.MaxUint32, max(0, math.Round(tokens))))
}

// decodeDemands leaves out levels that this version does not know.
func decodeDemands(encoded []*peerpb.ServiceDemand) []admission.Demand {
	var demands []admission.Demand
	for _, demand := range encoded {
		decoded := admission.Demand{Service: demand.GetService(), VMs: int(demand.GetVms()), Placed: float64(demand.GetPlaced()), TurnedAway: float64(demand.GetTurnedAway())}
		for _, account := range demand.GetAccounts() {
			if account.GetLevel() <= math.MaxUint8 {
				decoded.Counts = append(decoded.Counts, admission.Count{Account: account.GetAccount(), Level: admission.Level(account.GetLevel()), Asked: float64(account.GetAsked())})
			}
		}
		demands = append(demands, decoded)
	}
	return demands
}
