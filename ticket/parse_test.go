package ticket_test

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/ticket"
)

func TestTicket(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ticket")
}

// Guards against operators having to submit a ticket once for each error in it.
var _ = Describe("the report on an invalid ticket", func() {
	paths := func(found []ticket.Finding) []string {
		list := []string{}
		for _, f := range found {
			list = append(list, f.Path)
		}
		return list
	}

	It("lists every malformed, unknown and repeated field with its path", func() {
		_, found := ticket.Parse([]byte(`{"number":"x","colour":1,"endpoints":[{"slots":1.5,"id":null},{"slots":2,"slots":3}],"accounts":{}}`))
		Expect(paths(found)).To(ConsistOf("$.number", "$.colour", "$.endpoints[0].slots", "$.endpoints[0].id", "$.endpoints[1].slots", "$.accounts"))
	})

	It("lists every invalid value with its path", func() {
		t, found := ticket.Parse([]byte(`{"number":0,
			"endpoints":[{"id":"E","kind":"boat","address":"host:1","region":"r","failure_domain":"","half":"north","accounts":["nobody"]}],
			"accounts":[{"id":"a","half":"north","priority":9,"credential_sha256":"00"}],
			"remove_endpoints":["gone","gone"]}`))
		Expect(found).To(BeEmpty())
		Expect(paths(ticket.Validate(t, ticket.NewState()))).To(ConsistOf(
			"$.number", "$.endpoints[0].id", "$.endpoints[0].kind", "$.endpoints[0].address", "$.endpoints[0].failure_domain",
			"$.endpoints[0].accounts[0]", "$.accounts[0].priority", "$.accounts[0].credential_sha256",
			"$.remove_endpoints[0]", "$.remove_endpoints[1]", "$.remove_endpoints[1]"))
	})
})

// FuzzParse guards against input that crashes the parser or the validation, and
// against a ticket that changes when it is encoded and parsed again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"number":1,"endpoints":[{"id":"e1","kind":"engine","address":"10.0.0.1:80","region":"r","failure_domain":"d","half":"north","models":[{"model":"m"}],"slots":1}]}`))
	f.Add([]byte(`{"number":2,"accounts":[{"id":"a","half":"north","priority":1}],"remove_accounts":["b"]}`))
	f.Add([]byte(`{"number":1,"number":2}`))
	f.Add([]byte(`[null]`))
	f.Fuzz(func(t *testing.T, body []byte) {
		first, found := ticket.Parse(body)
		if len(found) > 0 {
			return
		}
		ticket.Validate(first, ticket.NewState())
		written, err := json.Marshal(first)
		if err != nil {
			t.Fatal(err)
		}
		second, found := ticket.Parse(written)
		again, _ := json.Marshal(second)
		if len(found) > 0 || string(again) != string(written) {
			t.Fatalf("%q was parsed as %q: findings %v", written, again, found)
		}
	})
}
