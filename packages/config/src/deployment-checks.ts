/** Checks of the declarative file that concern several of its entries. */
import type { Deployment } from '@pimentotally/core'
import type { IssueCollector } from './reader.js'

/** Most load that retries and hedges together may add, as a fraction of the requests. */
const maxAddedLoad = 0.05

/** Bounds the cost of a request, as each is matched against the path prefixes of all services. */
const maxServices = 1000

const reportDuplicates = (
  collector: IssueCollector,
  list: string,
  field: string,
  code: string,
  values: readonly string[],
): void => {
  const first = new Map<string, number>()
  values.forEach((value, index) => {
    const earlier = first.get(value)
    if (value !== '' && earlier !== undefined) {
      collector.add(code, [list, index, field], `"${value}" is already used by ${list}.${String(earlier)}`)
    } else first.set(value, index)
  })
}

const checkPrefixes = ({ services }: Deployment, collector: IssueCollector): void => {
  services.forEach(({ pathPrefix }, index) => {
    if (pathPrefix === '') return
    for (const other of services.slice(0, index)) {
      const path = ['services', index, 'pathPrefix']
      if (other.pathPrefix === '') continue
      if (pathPrefix === other.pathPrefix) {
        collector.add('duplicate_path_prefix', path, `${pathPrefix} already belongs to "${other.name}"`)
      } else if (pathPrefix.startsWith(other.pathPrefix) || other.pathPrefix.startsWith(pathPrefix)) {
        collector.add(
          'overlapping_path_prefix',
          path,
          `${pathPrefix} overlaps ${other.pathPrefix} of "${other.name}"`,
        )
      }
    }
  })
}

const checkServices = ({ services, targets }: Deployment, collector: IssueCollector): void => {
  const served = new Set(targets.map(({ service }) => service))
  services.forEach((service, index) => {
    const path = ['services', index]
    if (service.slots > service.connections) {
      collector.add(
        'slots_above_connections',
        [...path, 'slots'],
        `${String(service.slots)} slots need as many connections, but connections is ${String(service.connections)}`,
      )
    }
    // The tolerance allows for the rounding of decimal fractions.
    if (service.retryBudget + service.hedgeBudget > maxAddedLoad + 1e-9) {
      collector.add('budget_sum', path, 'retryBudget and hedgeBudget together must not exceed 0.05')
    }
    if (service.name !== '' && !served.has(service.name)) {
      collector.add('service_without_targets', path, `no target serves "${service.name}"`)
    }
  })
}

const checkTargets = ({ services, targets, domains }: Deployment, collector: IssueCollector): void => {
  const serviceNames = new Set(services.map(({ name }) => name))
  const domainNames = new Set(domains.map(({ name }) => name))
  targets.forEach(({ service, domain }, index) => {
    if (service !== '' && !serviceNames.has(service)) {
      collector.add('undeclared_service', ['targets', index, 'service'], `no service is named "${service}"`)
    }
    if (domain !== '' && !domainNames.has(domain)) {
      collector.add('undeclared_domain', ['targets', index, 'domain'], `no domain is named "${domain}"`)
    }
  })
}

/**
 * Adds the issues that concern several entries: unknown references, duplicates, overlaps and sums. Empty
 * strings are skipped: they stand for fields that are missing or not strings, which are reported already.
 */
export const checkDeployment = (deployment: Deployment, collector: IssueCollector): void => {
  const { services, targets, domains } = deployment
  if (services.length > maxServices) {
    collector.add('out_of_range', ['services'], `at most ${String(maxServices)} services can be declared`)
    return
  }
  if (services.length === 0) collector.add('no_services', ['services'], 'at least one service is needed')
  if (domains.length === 0) collector.add('no_domains', ['domains'], 'at least one domain is needed')
  const names = (list: readonly { readonly name: string }[]): string[] => list.map(({ name }) => name)
  reportDuplicates(collector, 'services', 'name', 'duplicate_name', names(services))
  reportDuplicates(collector, 'targets', 'name', 'duplicate_name', names(targets))
  reportDuplicates(collector, 'domains', 'name', 'duplicate_name', names(domains))
  reportDuplicates(
    collector,
    'targets',
    'address',
    'duplicate_address',
    targets.map(({ address }) => address),
  )
  checkPrefixes(deployment, collector)
  checkServices(deployment, collector)
  checkTargets(deployment, collector)
}
