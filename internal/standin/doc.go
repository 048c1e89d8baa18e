// Package standin implements small stand-ins for the systems around an entry:
// the platform's store, backend servers and callers. They record the calls and
// requests that reach them, so that the guarantees of the system are verified
// independently of the entries.
//
// # Usage
//
//	store := standin.NewStore()
//	backend, err := standin.StartBackend(standin.BackendConfig{Slots: 4})
//	if err != nil {
//		return err
//	}
//	defer backend.Close()
package standin
