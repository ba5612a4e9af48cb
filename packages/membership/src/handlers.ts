/** The methods of `PeerService` that membership serves. */
import { Code, ConnectError, type ServiceImpl } from '@connectrpc/connect'
import { RouterError } from '@pimentotally/core'
import type { PeerService } from '@pimentotally/wire'
import type { Membership } from './membership.js'
import { IdentityRefusals } from './peer-network.js'

export type MembershipHandlers = Pick<
  ServiceImpl<typeof PeerService>,
  'exchange' | 'notify' | 'fetchConfiguration'
>

const withConnectErrors = <T>(perform: () => T): T => {
  try {
    return perform()
  } catch (error) {
    if (error instanceof RouterError && IdentityRefusals.has(error.code)) {
      throw new ConnectError(error.code, Code.FailedPrecondition)
    }
    throw error
  }
}

export const membershipHandlers = (membership: Membership): MembershipHandlers => ({
  exchange: (request) => withConnectErrors(() => membership.handleExchange(request)),
  notify: (request) => {
    withConnectErrors(() => {
      membership.handleNotify(request)
    })
    return {}
  },
  fetchConfiguration: () => membership.handleFetchConfiguration(),
})
