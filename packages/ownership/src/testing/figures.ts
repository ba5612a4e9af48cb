/**
 * Prints measurements in virtual time: times without service over 20 seeds, shards moved and load imbalance
 * when the number of targets changes, and reads and writes of the platform's table.
 */
import { planPlacement } from '../placement.js'
import { CellSimulation } from './simulation.js'

const seeds = Array.from({ length: 20 }, (_, index) => index + 1)

const startSettled = async (seed: number, shards = 24): Promise<CellSimulation> => {
  const simulation = new CellSimulation({ seed, shards })
  await simulation.advance(3000 + simulation.random.integer(500))
  simulation.resetLongestGap()
  return simulation
}

const print = (name: string, values: readonly number[]): void => {
  const sorted = [...values].sort((left, right) => left - right)
  const median = sorted[Math.floor(sorted.length / 2)] ?? 0
  process.stdout.write(`${name}: median ${median.toFixed(0)}, worst ${(sorted.at(-1) ?? 0).toFixed(0)}\n`)
}

const losses: Readonly<Record<string, (simulation: CellSimulation) => void>> = {
  target: (simulation) => simulation.targets[simulation.random.integer(simulation.targets.length)]?.crash(),
  coordinator: (simulation) => simulation.leader('a')?.crash(),
  both: (simulation) => {
    simulation.leader('a')?.crash()
    simulation.targets[simulation.random.integer(simulation.targets.length)]?.crash()
  },
}

for (const isOutage of [false, true]) {
  for (const [name, lose] of Object.entries(losses)) {
    const gaps: number[] = []
    for (const seed of seeds) {
      const simulation = await startSettled(seed)
      if (isOutage) {
        simulation.platform.mode = 'absent'
        await simulation.advance(2000 + simulation.random.integer(500))
      }
      lose(simulation)
      await simulation.advance(4000, 10)
      gaps.push(simulation.longestGapMs)
    }
    print(`ms without service, loss of ${name}${isOutage ? ', platform absent' : ''}`, gaps)
  }
}

const handOvers: number[] = []
for (const seed of seeds) {
  const simulation = await startSettled(seed)
  await simulation.leader('a')?.coordinator?.stop()
  await simulation.advance(1500, 2)
  handOvers.push(simulation.longestGapMs)
}
print('ms without service, coordinator stopped', handOvers)

const shardCount = 256
const names = Array.from({ length: 20 }, (_, index) => `t${String(index)}`)
const equalTargets = (count: number): { name: string; weight: number }[] =>
  names.slice(0, count).map((name) => ({ name, weight: 6 }))
for (const [from, to] of [
  [20, 19],
  [19, 20],
  [10, 11],
] as const) {
  const empty = new Map(Array.from({ length: shardCount }, (_, shard) => [shard, undefined]))
  const before = planPlacement({ owners: empty, targets: equalTargets(from) })
  const plan = planPlacement({ owners: before, targets: equalTargets(to) })
  const after = new Map([...before, ...plan])
  const counts = equalTargets(to).map(
    ({ name }) => [...after.values()].filter((owner) => owner === name).length,
  )
  const share = shardCount / to
  const lost = [...before.values()].filter((owner) => names.indexOf(owner) >= to).length
  const fewest = Math.max(lost, to > from ? Math.min(Math.floor(share), Math.ceil(share * 0.9)) : 0)
  const modulo = [...before.keys()].filter((shard) => shard % from !== shard % to).length
  process.stdout.write(
    `${String(from)} to ${String(to)} targets, ${String(shardCount)} shards: ${String(plan.size)} moved, fewest ${String(fewest)}, ` +
      `modulo ${String(modulo)}; most loaded ${(Math.max(...counts) / share).toFixed(2)} of its share\n`,
  )
}

const simulation = await startSettled(1)
const count = async (name: string, durationMs: number, event: () => void): Promise<void> => {
  const { reads, writes } = simulation.platform
  event()
  await simulation.advance(durationMs)
  const seconds = durationMs / 1000
  process.stdout.write(
    `table, ${name}: ${String(simulation.platform.reads - reads)} reads and ${String(simulation.platform.writes - writes)} writes in ${String(seconds)} s\n`,
  )
}
await count('at rest', 60_000, () => undefined)
await count('loss of a target', 5000, () => simulation.targets[0]?.crash())
await count('return of a target', 5000, () => simulation.targets[0]?.restart())
await count('loss of the coordinator', 5000, () => simulation.leader('a')?.crash())
