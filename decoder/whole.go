package decoder

// checkWhole notes what is wrong between the tables and files, beyond what is
// wrong within one table.
func (b *builder) checkWhole() {
	organisations := b.checkOrganisations()
	b.checkServices(organisations)
	b.checkCapacity()
}

// checkOrganisations notes organisations that stand twice and keys that two of
// them share, and returns the names.
func (b *builder) checkOrganisations() map[string]bool {
	names := map[string]bool{}
	keys := map[string]bool{}
	for _, o := range b.organisations {
		if names[o.value.Name] {
			b.note(o.scope, "", o.value.Name, "an organisation that no other file has")
		}
		names[o.value.Name] = true
		for _, h := range o.value.KeyHashes {
			if h != "" && keys[h] {
				b.note(o.scope, "key-hashes", h, "a hash that stands once in all files")
			}
			keys[h] = true
		}
	}
	return names
}

// checkServices notes services that stand twice, have no organisation, or have
// more than all slots between them.
func (b *builder) checkServices(organisations map[string]bool) {
	names := map[string]bool{}
	sum := 0
	for _, s := range b.services {
		v := s.value
		if names[v.Name] {
			b.note(s.scope, "", v.Name, "a service that no other file has")
		}
		names[v.Name] = true
		if v.Organisation != "" && !organisations[v.Organisation] {
			b.note(s.scope, "organisation", v.Organisation, "the name of an [organisation] table in some file")
		}
		sum += v.Share
		if sum > maxShare && v.Share > 0 {
			b.note(s.scope, "share", v.Share, "shares of all services that add up to at most 100")
		}
	}
}
