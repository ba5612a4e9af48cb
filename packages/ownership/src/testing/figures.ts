/** Prints times without service, churn, imbalance and table traffic from virtual-time runs over 20 seeds. */
import { planPlacement } from '../placement.js'
import { CellSimulation } from './simulation.js'

const seeds = Array.from({ length: 20 }, (_, index) => index + 1)

const settle = async (seed: number, shards = 24): Promise<CellSimulation> => {
  const world = new CellSimulation({ seed, shards })
  await world.advance(3000 + world.random.integer(500))
  world.resetLongestGap()
  return world
}

const print = (name: string, values: readonly number[]): void => {
  const sorted = [...values].sort((left, right) => left - right)
  const median = sorted[Math.floor(sorted.length / 2)] ?? 0
  process.stdout.write(`${name}: median ${median.toFixed(0)}, worst ${(sorted.at(-1) ?? 0).toFixed(0)}\n`)
}

const losses: Readonly<Record<string, (world: CellSimulation) => void>> = {
  target: (world) => world.targets[world.random.integer(world.targets.length)]?.crash(),
  coordinator: (world) => world.leader('a')?.crash(),
  both: (world) => {
    world.leader('a')?.crash()
    world.targets[world.random.integer(world.targets.length)]?.crash()
  },
}

for (const isOutage of [false, true]) {
  for (const [name, lose] of Object.entries(losses)) {
    const gaps: number[] = []
    for (const seed of seeds) {
      const world = await settle(seed)
      if (isOutage) {
        world.platform.mode = 'absent'
        await world.advance(2000 + world.random.integer(500))
      }
      lose(world)
      await world.advance(4000, 10)
      gaps.push(world.longestGapMs)
    }
    print(`ms without service, loss of ${name}${isOutage ? ', platform absent' : ''}`, gaps)
  }
}

const handOvers: number[] = []
for (const seed of seeds) {
  const world = await settle(seed)
  await world.leader('a')?.coordinator?.stop()
  await world.advance(1500, 2)
  handOvers.push(world.longestGapMs)
}
print('ms without service, coordinator stopped', handOvers)

const shardCount = 256
const names = Array.from({ length: 20 }, (_, index) => `t${String(index)}`)
const weigh = (count: number): { name: string; weight: number }[] =>
  names.slice(0, count).map((name) => ({ name, weight: 6 }))
for (const [from, to] of [
  [20, 19],
  [19, 20],
  [10, 11],
] as const) {
  const empty = new Map(Array.from({ length: shardCount }, (_, shard) => [shard, undefined]))
  const before = planPlacement({ owners: empty, targets: weigh(from) })
  const plan = planPlacement({ owners: before, targets: weigh(to) })
  const after = new Map([...before, ...plan])
  const counts = weigh(to).map(({ name }) => [...after.values()].filter((owner) => owner === name).length)
  const share = shardCount / to
  const lost = [...before.values()].filter((owner) => names.indexOf(owner) >= to).length
  const fewest = Math.max(lost, to > from ? Math.min(Math.floor(share), Math.ceil(share * 0.9)) : 0)
  const modulo = [...before.keys()].filter((shard) => shard % from !== shard % to).length
  process.stdout.write(
    `${String(from)} to ${String(to)} targets, ${String(shardCount)} shards: ${String(plan.size)} moved, fewest ${String(fewest)}, ` +
      `modulo ${String(modulo)}; most loaded ${(Math.max(...counts) / share).toFixed(2)} of its share\n`,
  )
}

const world = await settle(1)
const count = async (name: string, durationMs: number, event: () => void): Promise<void> => {
  const { reads, writes } = world.platform
  event()
  await world.advance(durationMs)
  const seconds = durationMs / 1000
  process.stdout.write(
    `table, ${name}: ${String(world.platform.reads - reads)} reads and ${String(world.platform.writes - writes)} writes in ${String(seconds)} s\n`,
  )
}
await count('at rest', 60_000, () => undefined)
await count('loss of a target', 5000, () => world.targets[0]?.crash())
await count('return of a target', 5000, () => world.targets[0]?.restart())
await count('loss of the coordinator', 5000, () => world.leader('a')?.crash())
