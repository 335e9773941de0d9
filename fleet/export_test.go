package fleet

// Wrong variants of the core, by name. The property tests have to catch each.
var Mutations = map[string]func(*CoreOptions){
	"mergeWithoutIncarnation": func(o *CoreOptions) { o.mergeWithoutIncarnation = true },
	"confirmByStale":          func(o *CoreOptions) { o.confirmByStale = true },
	"confirmAtReceipt":        func(o *CoreOptions) { o.confirmAtReceipt = true },
}

// Newer is the merge rule.
var Newer = newer
