package setting

import "strings"

// PathIndex finds services by the paths of requests, in time that does not grow with the number of services.
type PathIndex map[string]string

// PathIndex returns the paths of all services with the names of the services.
func (s *Settings) PathIndex() PathIndex {
	paths := PathIndex{}
	for name, service := range s.Services {
		if service.Path != "" {
			paths[service.Path] = name
		}
	}
	return paths
}

// Find returns the name of the service whose path is a prefix of requestPath in whole segments: "/stock" matches "/stock"
// and "/stock/7", but not "/stockroom".
func (p PathIndex) Find(requestPath string) (name string, ok bool) {
	for end := len(requestPath); end > 0; end = strings.LastIndexByte(requestPath[:end], '/') {
		if name, ok := p[requestPath[:end]]; ok {
			return name, true
		}
		// A path may end with a slash.
		if requestPath[end-1] != '/' {
			if name, ok := p[requestPath[:strings.LastIndexByte(requestPath[:end], '/')+1]]; ok {
				return name, true
			}
		}
	}
	return "", false
}
