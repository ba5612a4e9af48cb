import { Random } from '@pimentotally/core'
import { RandomFaults } from './fault.js'
import { MemoryHostList } from './memory-host-list.js'
import { MemoryObjectStore } from './memory-object-store.js'
import { MemoryTable } from './memory-table.js'
import { describePlatform } from './testing.js'

describePlatform('the in-memory platform', () => {
  const faults = new RandomFaults(new Random(1))
  const hosts = new MemoryHostList({ faults })
  return Promise.resolve({
    table: new MemoryTable({ faults }),
    objects: new MemoryObjectStore({ faults }),
    hosts,
    setFaults: (policy) => {
      faults.policy = { ...faults.policy, ...policy }
      return Promise.resolve()
    },
    setHosts: (list, lagMs) => {
      hosts.lagMs = lagMs
      hosts.replace(list)
      return Promise.resolve()
    },
    close: () => Promise.resolve(),
  })
})
