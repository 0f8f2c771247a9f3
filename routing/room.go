package routing

import "github.com/bramleygw/bramleygw/settings"

// leastWaits returns the shortest MaxWait of the routes to each service.
func leastWaits(routes []Route) map[string]settings.Span {
	least := map[string]settings.Span{}
	for i := range routes {
		for _, split := range routes[i].Splits {
			known, ok := least[split.Service]
			if wait := routes[i].MaxWait; wait > 0 && (!ok || wait < known) {
				least[split.Service] = wait
			}
		}
	}
	return least
}

// LeastWait returns the shortest MaxWait of the routes to the service; 0 if none has one.
func (table *Table) LeastWait(service string) settings.Span {
	return table.leastWaits[service]
}

// TokenRates returns the rates of the accounts that are charged by tokens, in tokens a
// second, by name.
func (table *Table) TokenRates() map[string]float64 {
	rates := map[string]float64{}
	for name, account := range table.accountsByName {
		if account.ChargeByTokens && account.Rate > 0 {
			rates[name] = account.Rate
		}
	}
	return rates
}
