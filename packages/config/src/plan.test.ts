import assert from 'node:assert/strict'
import { readFileSync } from 'node:fs'
import { join } from 'node:path'
import { describe, it } from 'node:test'
import type { Configuration, Deployment, OperatorOverrides } from '@pimentotally/core'
import fc from 'fast-check'
import { DeploymentFile } from './deployment-file.js'
import { estimateMoves, planChanges } from './plan.js'

const deployment = DeploymentFile.parse(
  readFileSync(join(import.meta.dirname, '../../../examples/atap-batu.toml'), 'utf8'),
)
const allIn: OperatorOverrides = { domains: {}, drainingTargets: [] }
const configuration = (next: Deployment, operations = allIn): Configuration => ({
  version: 7,
  hash: '',
  deployment: next,
  operations,
})
/** The deployment, with the fields that `change` returns put into each keyed service. */
const changeKeyedServices = (change: (keyed: { shardCount: number }) => object): Deployment => ({
  ...deployment,
  services: deployment.services.map((service) =>
    service.keyed === undefined ? service : { ...service, ...change(service.keyed) },
  ),
})

await describe('a plan', async () => {
  await it('is empty for the same deployment', () => {
    const plan = planChanges(configuration(deployment), deployment)
    assert.deepEqual(plan, { baseVersion: 7, changes: [], moves: [], issues: [] })
  })

  await it('names what is added, removed and changed, with the changed fields', () => {
    const [removed, changed, ...others] = deployment.targets
    assert.ok(removed !== undefined && changed !== undefined)
    const after: Deployment = {
      ...deployment,
      domains: [...deployment.domains, { name: 'mk', region: 'my' }],
      services: deployment.services.map((service) => ({ ...service, slots: 7, crashLimit: 3 })),
      targets: [...others, { ...changed, address: '127.0.0.1:1' }],
    }
    const { changes } = planChanges(configuration(deployment), after)
    assert.deepEqual(
      changes.map(({ action, kind, name, fields }) => [action, kind, name, ...fields].join(' ')),
      [
        'added domain mk',
        ...deployment.services.map(({ name }) => `changed service ${name} slots crashLimit`),
        `removed target ${removed.name}`,
        `changed target ${changed.name} address`,
      ],
    )
  })

  await it('refuses to change the mapping of keys to shards, or to replace one deployment by another', () => {
    const before = configuration(deployment)
    const codes = (after: Deployment): string[] => planChanges(before, after).issues.map(({ code }) => code)
    assert.deepEqual(codes(changeKeyedServices((keyed) => ({ keyed: { ...keyed, shardCount: 8192 } }))), [
      'shard_count_changed',
    ])
    assert.deepEqual(codes({ ...deployment, name: 'barlavento' }), ['deployment_name_changed'])
    assert.deepEqual(codes(changeKeyedServices(() => ({ keyed: undefined }))), ['keyed_service_unkeyed'])
  })
})

await describe('the estimate of moved shards', async () => {
  await it('moves exactly the shards of a domain that is taken out, and spreads them by slots', () => {
    // Of the 20 targets of survey-notes, all with equal slots, jb and kl have 7 each and pg has 6; there are
    // 4096 shards.
    const moves = estimateMoves(
      configuration(deployment),
      configuration(deployment, { domains: { pg: 'out' }, drainingTargets: [] }),
    )
    assert.deepEqual(moves, [
      { service: 'survey-notes', fromCell: 'pg', toCell: 'jb', shards: 614 },
      { service: 'survey-notes', fromCell: 'pg', toCell: 'kl', shards: 615 },
    ])
  })

  await it('is empty while no domain is in, as the shards then stay where they are', () => {
    const out = { domains: { jb: 'out', kl: 'out', pg: 'lost' }, drainingTargets: [] } as const
    assert.deepEqual(estimateMoves(configuration(deployment), configuration(deployment, out)), [])
  })

  await it('never moves more shards than there are, nor moves shards both into and out of a cell', () => {
    // The domain of each target. No state is drawn for `mk`, so it is always `in`.
    const domains = fc.array(fc.constantFrom('jb', 'kl', 'pg', 'mk'), { minLength: 1, maxLength: 30 })
    const states = fc.dictionary(fc.constantFrom('jb', 'kl', 'pg'), fc.constantFrom('in', 'out', 'lost'))
    const side = fc.tuple(domains, states).map(([places, domainStates]) =>
      configuration(
        {
          ...deployment,
          targets: places.map((domain, index) => ({
            name: `t${String(index)}`,
            service: 'survey-notes',
            domain,
            address: `127.0.0.1:${String(index + 1)}`,
          })),
        },
        { domains: domainStates, drainingTargets: [] },
      ),
    )
    fc.assert(
      fc.property(side, side, (before, after) => {
        const moves = estimateMoves(before, after)
        const from = new Set(moves.map(({ fromCell }) => fromCell))
        assert.ok(moves.every(({ toCell, shards }) => !from.has(toCell) && shards > 0))
        assert.ok(moves.reduce((sum, { shards }) => sum + shards, 0) <= 4096)
        assert.ok(moves.every(({ toCell }) => (after.operations.domains[toCell] ?? 'in') === 'in'))
        assert.deepEqual(estimateMoves(before, before), [])
      }),
      { seed: 20261204 },
    )
  })
})
