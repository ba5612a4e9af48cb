/** The states of the services and targets of a cell, updated whenever the configuration changes. */
import { type Clock, Configuration, DomainState, type TargetSpec } from '@pimentotally/core'
import { ServiceState } from './service.js'
import { TargetState } from './target.js'

export interface CellTargetsOptions {
  readonly clock: Clock
  readonly configuration: () => Configuration
  readonly isInCell: (target: TargetSpec) => boolean
}

export class CellTargets {
  readonly #options: CellTargetsOptions
  readonly #targets = new Map<string, TargetState>()
  readonly #services = new Map<string, ServiceState>()
  #configuration: Configuration | undefined

  constructor(options: CellTargetsOptions) {
    this.#options = options
  }

  get(name: string): TargetState | undefined {
    return this.#targets.get(name)
  }

  all(): TargetState[] {
    return [...this.#targets.values()]
  }

  service(name: string): ServiceState | undefined {
    return this.#services.get(name)
  }

  services(): IterableIterator<ServiceState> {
    return this.#services.values()
  }

  /** Applies the configuration if it has changed; otherwise this costs one comparison. */
  refresh(): void {
    const configuration = this.#options.configuration()
    if (configuration === this.#configuration) return
    this.#configuration = configuration
    const nowMs = this.#options.clock.monotonicMs()
    const { services, targets } = configuration.deployment
    for (const spec of services) {
      const known = this.#services.get(spec.name)
      if (known === undefined) this.#services.set(spec.name, new ServiceState(spec, nowMs))
      else known.spec = spec
    }
    for (const service of this.#services.values()) service.targets = []
    const declared = new Set<string>()
    for (const spec of targets) {
      const service = this.#services.get(spec.service)
      if (service === undefined || !this.#options.isInCell(spec)) continue
      declared.add(spec.name)
      const target = this.#targets.get(spec.name) ?? new TargetState(spec, service.spec)
      this.#targets.set(spec.name, target)
      target.spec = spec
      target.service = service.spec
      service.targets.push(target)
      const leaving =
        Configuration.isDraining(configuration, spec.name) ||
        Configuration.domainState(configuration, spec.domain) !== DomainState.in
      this.#setDraining(target, leaving, nowMs)
    }
    for (const [name, target] of this.#targets) {
      if (declared.has(name)) continue
      // The permits of a target that is no longer declared stay counted until they have ended.
      if (target.inFlight.size === 0) this.#targets.delete(name)
      else this.#setDraining(target, true, nowMs)
    }
  }

  #setDraining(target: TargetState, draining: boolean, nowMs: number): void {
    if (draining && !target.draining) target.drainingSinceMs = nowMs
    target.draining = draining
  }
}
