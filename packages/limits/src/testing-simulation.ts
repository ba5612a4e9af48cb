/**
 * Simulates hosts, coordinators and targets in virtual time. It runs the real pools and clients through
 * faults and checks the guarantees of slot accounting whenever a request starts at a target.
 */
import assert from 'node:assert/strict'
import {
  AttemptOutcome,
  type Configuration,
  type Permit,
  type PermitRequest,
  Random,
} from '@pimentotally/core'
import { configurationOf, request, serviceSpec, termOf } from './testing.js'
import { CrashingCaller } from './testing-crashing-caller.js'
import {
  crashingIdentity,
  type Fault,
  FaultKind,
  leaseMs,
  type RunningRequest,
  SimulatedHost,
  SimulatedTarget,
} from './testing-hosts.js'
import { FastTime } from './testing-network.js'

const shardCount = 6

export class PermitSimulation {
  readonly time = new FastTime()
  readonly random: Random
  readonly configuration: Configuration
  readonly targets = new Map<string, SimulatedTarget>()
  readonly hosts: SimulatedHost[] = []
  readonly owners = new Map<number, string>()
  /** When each permit was issued by its coordinator, by permit id. */
  readonly issuedAtMs = new Map<string, number>()
  knownHosts: string[] = []
  crashes = 0
  disruptions = 0
  blocked = false
  completedCount = 0
  #ballot = 0
  #coordinator: SimulatedHost | undefined
  #lastReports = new Map<string, { readonly instance: number; readonly atMs: number }>()
  readonly #moving = new Map<number, string>()
  stopped = false
  readonly #crasher = new CrashingCaller(this)

  constructor(seed: number, hostCount: number) {
    this.random = new Random(seed)
    const services = [
      serviceSpec({ name: 'prices', slots: 2, requestTimeoutMs: 600 }),
      serviceSpec({
        name: 'notes',
        slots: 3,
        requestTimeoutMs: 600,
        keyed: { shardCount, source: { kind: 'header', name: 'key' } },
      }),
    ]
    this.configuration = configurationOf(services, { prices: 3, notes: 3 })
    for (const { name, service } of this.configuration.deployment.targets) {
      this.targets.set(name, new SimulatedTarget(name, service === 'prices' ? 2 : 3))
    }
    for (let shard = 0; shard < shardCount; shard += 1) {
      this.owners.set(shard, `notes-${String(1 + (shard % 3))}`)
    }
    this.knownHosts = Array.from({ length: hostCount }, (_, index) => `h${String(index)}`)
    for (const id of this.knownHosts) this.#addHost(id)
    const [first] = this.hosts
    if (first !== undefined) this.#claim(first)
  }

  async run(faults: readonly Fault[], durationMs: number): Promise<void> {
    for (const fault of faults) {
      this.time.schedule(fault.atMs, () => {
        this.#inject(fault)
      })
    }
    for (const host of this.hosts) this.#generate(host)
    await this.time.advance(durationMs)
    this.#checkBudgets()
  }

  /**
   * Checks that requests are served after the faults, ends the load, and checks that no permit stays counted.
   */
  async settle(): Promise<void> {
    await this.time.advance(3000)
    const before = this.completedCount
    await this.time.advance(500)
    assert.ok(this.completedCount > before, 'no request was served after the faults had ended')
    this.stopped = true
    await this.time.advance(4000)
    const { pool } = this.#coordinator ?? {}
    const counters = pool?.counters()
    assert.equal(counters?.inFlight, 0, 'permits are still counted after all requests ended')
    assert.equal(counters.waiting, 0)
    for (const { client, lost } of this.hosts) if (!lost) assert.deepEqual(client.heldPermits(), [])
    for (const host of this.hosts) {
      host.client.close()
      host.pool.close()
    }
  }

  delay(belowMs: number): number {
    return this.random.float() * belowMs
  }

  #addHost(id: string): void {
    const host = new SimulatedHost(id, this)
    this.hosts.push(host)
    host.pool.onBlocked(({ identity, ...entry }) => {
      assert.equal(identity, crashingIdentity, 'an innocent identity was blocked')
      // The daemon distributes blocked identities through the platform in the same way.
      for (const other of this.hosts) other.pool.setBlocked([{ identity, ...entry }])
    })
    this.#runTenure(host)
  }

  /** Runs the tenure of a coordinator: renews its term and probes the targets every 250 ms. */
  #runTenure(host: SimulatedHost): void {
    host.clock.schedule(250, () => {
      this.#runTenure(host)
      const { authority, pool } = host
      if (authority.held === undefined || this.stopped) return
      if (this.#coordinator !== host || authority.validForMs() <= 0) {
        authority.held = undefined
        pool.endTerm()
        if (this.#coordinator === host) this.#elect()
        return
      }
      authority.renewedAtMs = this.time.nowMs()
      for (const target of this.targets.values()) this.#probe(host, target)
    })
  }

  #probe(host: SimulatedHost, target: SimulatedTarget): void {
    const { pool } = host
    if (!target.up) {
      if (this.time.nowMs() - target.startedAtMs > leaseMs) pool.targetLost(target.name)
      return
    }
    const { instance, startedAtMs } = target
    const uptimeMs = this.time.nowMs() - startedAtMs
    this.time.schedule(this.delay(5), () => {
      host.clock.run(() => {
        pool.targetAnswered(target.name, { instanceId: String(instance), uptimeMs })
        this.#lastReports.set(`${host.id}/${target.name}`, { instance, atMs: this.time.nowMs() })
      })
    })
  }

  #elect(): void {
    const candidates = this.hosts.filter(({ clock, lost }) => !lost && !clock.paused)
    const winner = this.random.pick(candidates)
    if (winner === undefined)
      this.time.schedule(100, () => {
        this.#elect()
      })
    else this.#claim(winner)
  }

  #claim(host: SimulatedHost): void {
    this.#ballot += 1
    const earlier = this.#coordinator === undefined ? [] : this.hosts.map(({ id }) => id)
    this.#coordinator = host
    const term = termOf(this.#ballot, this.hosts.indexOf(host))
    if (host.authority.held !== undefined) host.pool.endTerm()
    host.authority.held = term
    host.authority.renewedAtMs = this.time.nowMs()
    const nowMs = this.time.nowMs()
    for (const target of this.targets.values()) {
      if (!target.up) continue
      const { name, instance, startedAtMs } = target
      host.pool.targetAnswered(name, { instanceId: String(instance), uptimeMs: nowMs - startedAtMs })
      this.#lastReports.set(`${host.id}/${name}`, { instance, atMs: nowMs })
    }
    // Unfinished moves of the earlier coordinator are undone; a later fault may move the shards again.
    for (const [shard, from] of this.#moving) this.owners.set(shard, from)
    this.#moving.clear()
    host.pool.startTerm(term, earlier)
    const info = { cellId: 'north', term, hostId: host.id, peerAddress: host.id }
    for (const other of this.hosts) {
      this.time.schedule(other === host ? 0 : this.delay(200), () => {
        other.clock.run(() => {
          other.directory.setCoordinator(info)
        })
      })
    }
  }

  #inject({ kind, index, durationMs }: Fault): void {
    const host = this.hosts[index % this.hosts.length]
    const target = [...this.targets.values()][index % this.targets.size]
    if (host === undefined || target === undefined || (host.lost && kind !== FaultKind.restartTarget)) return
    switch (kind) {
      case FaultKind.pauseHost:
        this.disruptions += 1
        if (host.clock.paused) return
        host.clock.pause()
        this.time.schedule(durationMs, () => {
          if (!host.lost) host.clock.resume()
        })
        if (host === this.#coordinator && durationMs > leaseMs) {
          this.time.schedule(leaseMs, () => {
            if (host === this.#coordinator) this.#elect()
          })
        }
        break
      case FaultKind.cutStream:
        this.disruptions += 1
        host.channel.cut()
        break
      case FaultKind.silenceStream:
        this.disruptions += 1
        host.channel.silence()
        break
      case FaultKind.changeCoordinator:
        this.disruptions += 1
        if (!host.clock.paused && host !== this.#coordinator) this.#claim(host)
        break
      case FaultKind.loseHost:
        if (this.hosts.filter(({ lost }) => !lost).length <= 2) return
        this.disruptions += 1
        this.#lose(host)
        break
      case FaultKind.restartTarget:
        // If a target restarted for another reason while a suspect runs alone, the restart would rightly
        // count as a crash by the suspect.
        if (target.running.size > 1) this.#crash(target, durationMs)
        break
      case FaultKind.crasher:
        this.#crasher.start()
        break
      case FaultKind.moveShard:
        void this.#move(index % shardCount)
        break
    }
  }

  #lose(host: SimulatedHost): void {
    host.lost = true
    host.clock.pause()
    host.channel.cut()
    this.time.schedule(1000 + this.delay(1000), () => {
      this.knownHosts = this.knownHosts.filter((id) => id !== host.id)
    })
    if (host === this.#coordinator) {
      this.time.schedule(50 + this.delay(600), () => {
        if (host === this.#coordinator) this.#elect()
      })
    }
  }

  #crash(target: SimulatedTarget, downMs: number): void {
    if (!target.up) return
    target.up = false
    target.startedAtMs = this.time.nowMs()
    for (const run of target.running) this.#reportOutcome(run, AttemptOutcome.connectionLost, this.delay(5))
    target.running.clear()
    this.time.schedule(downMs, () => {
      target.up = true
      target.instance += 1
      target.startedAtMs = this.time.nowMs()
      target.successes = 0
    })
  }

  async #move(shard: number): Promise<void> {
    const from = this.owners.get(shard)
    const coordinator = this.#coordinator
    const ballot = this.#ballot
    if (from === undefined || coordinator === undefined) return
    this.owners.delete(shard)
    this.#moving.set(shard, from)
    const to = `notes-${String(1 + this.random.integer(3))}`
    await coordinator.pool.whenNoPermitOutstanding('notes', [shard], new AbortController().signal)
    if (ballot !== this.#ballot || coordinator.authority.term() === undefined) return
    this.#moving.delete(shard)
    this.owners.set(shard, to)
    coordinator.pool.ownersChanged()
  }

  #generate(host: SimulatedHost): void {
    host.clock.schedule(1 + this.delay(60), () => {
      if (this.stopped || host.lost) return
      this.#generate(host)
      const shard = this.random.float() < 0.5 ? this.random.integer(shardCount) : undefined
      void this.#send(host, {
        ...request({ deadlineMs: 100 + this.delay(500) }),
        ...(shard === undefined ? {} : { service: 'notes', shard, keyHash: String(shard) }),
      })
    })
  }

  async #send(host: SimulatedHost, sent: PermitRequest): Promise<void> {
    const cancel = new AbortController()
    if (this.random.float() < 0.03)
      host.clock.schedule(this.delay(100), () => {
        cancel.abort()
      })
    const deadlineAtMs = this.time.nowMs() + sent.deadlineMs
    const result = await host.client.acquire(sent, cancel.signal)
    if (result.isErr) return
    const permit = result.value
    // Permits that came over a stream were recorded when the coordinator issued them.
    if (!this.issuedAtMs.has(permit.permitId)) this.issuedAtMs.set(permit.permitId, this.time.nowMs())
    assert.ok(this.time.nowMs() < deadlineAtMs, 'a permit was lent after the deadline')
    if (permit.hedgeAfterMs !== undefined && sent.attempt === 'first') {
      host.clock.schedule(permit.hedgeAfterMs, () => {
        void this.#send(host, { ...sent, attempt: 'hedge', excludedTargets: [permit.target] })
      })
    }
    const gapMs = this.random.float() < 0.05 ? this.delay(1200) : 0
    host.clock.schedule(gapMs, () => {
      const late = this.time.nowMs() >= deadlineAtMs
      if (late || !host.client.isUsable(permit)) {
        host.client.release(permit, { outcome: AttemptOutcome.unused, latencyMs: 0 })
      } else this.start(host, permit, sent, deadlineAtMs)
    })
  }

  /** Called when a request reaches its target. */
  start(host: SimulatedHost, permit: Permit, sent: PermitRequest, deadlineAtMs: number): void {
    const nowMs = this.time.nowMs()
    const target = this.targets.get(permit.target)
    assert.ok(target)
    const run: RunningRequest = { target, host, permit, request: sent }
    if (!target.up) {
      this.#reportOutcome(run, AttemptOutcome.failed, this.delay(2))
      return
    }
    target.running.add(run)
    this.#checkStart(run, nowMs)
    if (sent.identity === crashingIdentity) {
      this.time.schedule(this.delay(8), () => {
        if (!target.running.has(run)) return
        this.crashes += 1
        this.#crash(target, 50 + this.delay(1200))
      })
      return
    }
    const workMs = this.random.float() < 0.03 ? this.delay(1000) : this.delay(30)
    const runsMs = Math.min(workMs, deadlineAtMs - nowMs + this.delay(200))
    this.time.schedule(runsMs, () => {
      if (!target.running.delete(run)) return
      const ok = runsMs === workMs
      if (ok) {
        target.successes += 1
        this.completedCount += 1
      }
      this.#reportOutcome(run, ok ? AttemptOutcome.ok : AttemptOutcome.timedOut, this.delay(2), runsMs)
    })
  }

  #checkStart({ target, permit, request: { shard } }: RunningRequest, nowMs: number): void {
    const count = target.running.size
    assert.ok(count <= target.slots, `${target.name} runs ${String(count)} of ${String(target.slots)}`)
    const lender = this.hosts.find(({ authority }) => authority.held === permit.term)
    const lastReport = this.#lastReports.get(`${lender?.id ?? ''}/${target.name}`)
    const known = lastReport?.instance === target.instance && permit.sendWithinMs > 0
    if (known && (this.issuedAtMs.get(permit.permitId) ?? -Infinity) >= lastReport.atMs) {
      assert.ok(count <= target.allowance(nowMs), `cold ${target.name} runs ${String(count)}`)
    }
    if (shard === undefined) return
    for (const other of this.targets.values()) {
      if (other === target) continue
      const same = [...other.running].some((run) => run.request.shard === shard)
      assert.ok(!same, `shard ${String(shard)} runs on ${other.name} and ${target.name}`)
    }
  }

  #reportOutcome(
    { host, permit, request: sent }: RunningRequest,
    outcome: AttemptOutcome,
    delayMs: number,
    latencyMs = 0,
  ): void {
    this.time.schedule(delayMs, () => {
      host.clock.run(() => {
        host.client.release(permit, { outcome, latencyMs })
        if (sent.identity === crashingIdentity) this.#crasher.ended()
        const retry = outcome === AttemptOutcome.failed && this.random.float() < 0.5
        if (retry && !this.stopped) void this.#send(host, request({ attempt: 'retry', deadlineMs: 200 }))
      })
    })
  }

  #checkBudgets(): void {
    for (const { pool } of this.hosts) {
      const { permits, hedges, retries } = pool.counters()
      assert.ok(
        hedges + retries <= 0.05 * (permits - hedges - retries) + 1e-9,
        `${String(hedges)} hedges and ${String(retries)} retries in ${String(permits)} permits`,
      )
    }
  }
}
