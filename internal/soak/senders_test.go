package soak

import (
	"encoding/json"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the organisations of a configuration", func() {
	It("pass a key to another one with each version", func() {
		owners := map[string]bool{}
		for version := range clubs {
			var c struct {
				Tenants []struct {
					Name    string
					APIKeys []string
				}
			}
			Expect(json.Unmarshal(configOf(version, false, "o"), &c)).To(Succeed())
			owned := 0
			for _, t := range c.Tenants {
				for _, k := range t.APIKeys {
					if k == passedOnKey {
						owned++
						owners[t.Name] = true
					}
				}
			}
			Expect(owned).To(Equal(1))
		}
		Expect(owners).To(HaveLen(clubs))
	})
})
