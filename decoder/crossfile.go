package decoder

// checkAcrossFiles adds the problems that involve several tables or files.
func (b *builder) checkAcrossFiles() {
	organisations := b.checkOrganisations()
	b.checkServices(organisations)
	b.checkCapacity()
}

// checkOrganisations adds a problem for each duplicate organisation and duplicate
// key hash, and returns the names of the organisations.
func (b *builder) checkOrganisations() map[string]bool {
	names := map[string]bool{}
	keys := map[string]bool{}
	for _, o := range b.organisations {
		if names[o.value.Name] {
			b.addProblem(o.scope, "", o.value.Name, "an organisation name that is unique across all files")
		}
		names[o.value.Name] = true
		for _, h := range o.value.KeyHashes {
			if h != "" && keys[h] {
				b.addProblem(o.scope, "key-hashes", h, "a key hash that is unique across all files")
			}
			keys[h] = true
		}
	}
	return names
}

// checkServices adds a problem for each duplicate service, for each service of an
// unknown organisation, and when the shares of all services exceed 100 percent.
func (b *builder) checkServices(organisations map[string]bool) {
	names := map[string]bool{}
	total := 0
	for _, s := range b.services {
		v := s.value
		if names[v.Name] {
			b.addProblem(s.scope, "", v.Name, "a service name that is unique across all files")
		}
		names[v.Name] = true
		if v.Organisation != "" && !organisations[v.Organisation] {
			b.addProblem(s.scope, "organisation", v.Organisation, "the name of an [organisation] table in some file")
		}
		total += v.Share
		if total > maxShare && v.Share > 0 {
			b.addProblem(s.scope, "share", v.Share, "shares of all services that total at most 100")
		}
	}
}
