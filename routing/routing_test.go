package routing

import "testing"

func testTable() *Table {
	return NewTable(Config{
		Version: 3,
		Routes: []Route{
			{Name: "all", Host: "notes.example", Prefix: "/", Splits: []Split{{"notes", 1}}},
			{Name: "rounds", Host: "Notes.Example", Prefix: "/rounds/", Splits: []Split{{"notes", 1}}},
			{Name: "deep", Host: "notes.example", Prefix: "/rounds/today/", Splits: []Split{{"notes", 90}, {"app", 10}}},
		},
		Accounts: []Account{{Name: "derby", Keys: []string{"k1", "k2"}}, {Name: "leicester", Keys: []string{"k3"}}},
	})
}

func TestMatchPrefersTheLongestPrefix(t *testing.T) {
	tests := []struct{ host, path, want string }{
		{"notes.example", "/rounds/today/1", "deep"},
		{"notes.example", "/rounds/today", "rounds"},
		{"NOTES.example:8080", "/rounds/x", "rounds"},
		{"notes.example", "/roundsx", "all"},
		{"other.example", "/rounds/", ""},
	}
	for _, test := range tests {
		got := ""
		if route := testTable().Match(test.host, test.path); route != nil {
			got = route.Name
		}
		if got != test.want {
			t.Errorf("%s%s: got route %q, want %q", test.host, test.path, got, test.want)
		}
	}
}

func TestKeysBelongToAccounts(t *testing.T) {
	for key, want := range map[string]string{"k1": "derby", "k2": "derby", "k3": "leicester", "": "", "k": ""} {
		got := ""
		if account := testTable().Account(key); account != nil {
			got = account.Name
		}
		if got != want {
			t.Errorf("key %q: got account %q, want %q", key, got, want)
		}
	}
}

func TestSplitIsProportionalAndStablePerRequest(t *testing.T) {
	route := testTable().Match("notes.example", "/rounds/today/")
	counts := map[string]int{}
	for i := range 2000 {
		id := string(rune('a'+i%26)) + string(rune('a'+i/26%26)) + string(rune('a'+i/676))
		service := route.Service(id)
		counts[service]++
		if again := route.Service(id); again != service {
			t.Errorf("request %s: got %s and %s, want one service", id, service, again)
		}
	}
	if counts["app"] < 120 || counts["app"] > 280 {
		t.Errorf("got %d of 2000 requests at a tenth of the weight, want about 200", counts["app"])
	}
}

func TestSplitWithoutWeightsGivesNoService(t *testing.T) {
	route := Route{Splits: []Split{{"a", 0}, {"b", 0}}}
	if got := route.Service("x"); got != "" {
		t.Errorf("got service %q, want none", got)
	}
}
