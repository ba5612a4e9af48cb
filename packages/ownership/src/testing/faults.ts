/** Faults of a simulation as fast-check values, so that a failing run shrinks to few short faults. */
import fc from 'fast-check'
import { Random } from '@pimentotally/core'
import type { PlatformMode } from './platform.js'
import type { SimulatedCellHost, SimulatedCellTarget, CellSimulation } from './simulation.js'

export const faultKinds = [
  'pauseHost',
  'pauseTarget',
  'crashHost',
  'crashTarget',
  'isolateHost',
  'isolateTarget',
  'cutOneWay',
  'cutBoth',
  'cutFromHosts',
  'split',
  'cutSome',
  'delays',
  'longDelays',
  'absent',
  'slow',
  'losing',
  'stopHost',
  'drain',
] as const
export type FaultKind = (typeof faultKinds)[number]

export interface Fault {
  readonly kind: FaultKind
  readonly atMs: number
  readonly durationMs: number
  /** Index of the affected node; with `atLeader`, faults of hosts and links affect the coordinator's host. */
  readonly node: number
  readonly other: number
  readonly atLeader: boolean
}

export const faultArbitrary = (maxDurationMs: number): fc.Arbitrary<Fault> =>
  fc.record({
    kind: fc.constantFrom(...faultKinds),
    atMs: fc.integer({ min: 0, max: 1500 }),
    durationMs: fc.integer({ min: 50, max: maxDurationMs }),
    node: fc.nat(20),
    other: fc.nat(20),
    atLeader: fc.boolean(),
  })

const pick = <T>(items: readonly T[], index: number): T => items[index % items.length] as T

/** Schedules a fault and its end, counted from now. */
export const scheduleFault = (simulation: CellSimulation, fault: Fault): void => {
  simulation.time.schedule(fault.atMs, () => {
    const endFault = apply(simulation, fault)
    simulation.time.schedule(fault.durationMs, endFault)
  })
}

const apply = (simulation: CellSimulation, { kind, node, other, atLeader }: Fault): (() => void) => {
  const leader = simulation.leader(pick(simulation.options.cells, node))
  const host = atLeader && leader !== undefined ? leader : pick(simulation.hosts, node)
  const target = pick(simulation.targets, node)
  const nodes: readonly (SimulatedCellHost | SimulatedCellTarget | { readonly name: string })[] = [
    ...simulation.hosts,
    ...simulation.targets,
    simulation.platform.node,
  ]
  const first = atLeader ? host.name : pick(nodes, node).name
  const second = pick(nodes, other).name
  const cuts = (...pairs: [string, string][]): (() => void) => {
    const ends = pairs.map(([from, to]) => simulation.network.cut(from, to))
    return () => {
      for (const endFault of ends) endFault()
    }
  }
  const mode = (next: PlatformMode): (() => void) => {
    simulation.platform.mode = next
    return () => {
      simulation.platform.mode = 'up'
    }
  }
  const restart = (): void => {
    if (!host.isUp) host.start()
  }
  switch (kind) {
    case 'pauseHost':
    case 'pauseTarget': {
      const { clock } = kind === 'pauseHost' ? host : target
      clock.pause()
      return () => {
        clock.resume()
      }
    }
    case 'crashHost':
      host.crash()
      return restart
    case 'stopHost': {
      const stopping = host.coordinator?.stop() ?? Promise.resolve()
      void stopping.then(() => {
        // The process ends only after the messages of the hand-over were sent.
        host.clock.schedule(5, () => {
          host.crash()
        })
      })
      return restart
    }
    case 'crashTarget':
      target.crash()
      return () => {
        target.restart()
      }
    case 'isolateHost':
      return cuts([host.name, '*'], ['*', host.name])
    case 'isolateTarget':
      return cuts([target.name, '*'], ['*', target.name])
    case 'cutOneWay':
      return cuts([first, second])
    case 'cutBoth':
      return cuts([first, second], [second, first])
    case 'cutFromHosts':
      // The coordinator still reaches its targets while its peers believe that it is lost.
      return cuts(
        ...simulation.hosts.flatMap(({ name }): [string, string][] => [
          [host.name, name],
          [name, host.name],
        ]),
      )
    case 'split': {
      // Two groups of nodes that cannot reach each other; the bits of a hash of `other` select the group.
      const side = (index: number): boolean => ((((other + 1) * 2654435761) >>> (index % 31)) & 1) === 1
      const pairs = nodes.flatMap((from, index) =>
        nodes.flatMap((to, toIndex): [string, string][] =>
          side(index) === side(toIndex) ? [] : [[from.name, to.name]],
        ),
      )
      return cuts(...pairs)
    }
    case 'cutSome': {
      const random = new Random(node * 100 + other)
      return cuts(
        ...nodes.flatMap((from) =>
          nodes.flatMap((to): [string, string][] => (random.float() < 0.35 ? [[from.name, to.name]] : [])),
        ),
      )
    }
    case 'longDelays':
      simulation.network.maxDelayMs = 1500
      return () => {
        simulation.network.maxDelayMs = 1
      }
    case 'delays':
      simulation.network.maxDelayMs = 250
      return () => {
        simulation.network.maxDelayMs = 1
      }
    case 'absent':
    case 'slow':
    case 'losing':
      return mode(kind)
    case 'drain':
      simulation.setDraining([target.name])
      return () => {
        simulation.setDraining([])
      }
  }
}
