package node

// rootAccountName returns the name of the client account of the request or of its root request,
// "" without one.
func (r *request) rootAccountName() string {
	if r.account == nil {
		return r.rootAccount
	}
	return r.account.Name
}

// weightOf returns the weight of a client account in queues: its configured rate, 0 if there is
// none.
func (t *tables) weightOf(account string) float64 {
	configuration := t.inForce.Load()
	if account == "" || configuration == nil {
		return 0
	}
	if a := configuration.AccountByName(account); a != nil {
		return a.Rate
	}
	return 0
}
