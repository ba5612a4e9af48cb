/** The methods of `PeerService` that membership serves. */
import { Code, ConnectError, type ServiceImpl } from '@connectrpc/connect'
import { RouterError } from '@pimentotally/core'
import type { PeerService } from '@pimentotally/wire'
import type { Membership } from './membership.js'
import { IdentityRefusalCodes } from './peer-network.js'

export type MembershipHandlers = Pick<
  ServiceImpl<typeof PeerService>,
  'exchange' | 'notify' | 'fetchConfiguration'
>

/** Turns identity refusals into Connect errors that callers recognise; other errors pass unchanged. */
const convertIdentityRefusals = <T>(perform: () => T): T => {
  try {
    return perform()
  } catch (error) {
    if (error instanceof RouterError && IdentityRefusalCodes.has(error.code)) {
      throw new ConnectError(error.code, Code.FailedPrecondition)
    }
    throw error
  }
}

export const membershipHandlers = (membership: Membership): MembershipHandlers => ({
  exchange: (request) => convertIdentityRefusals(() => membership.handleExchange(request)),
  notify: (request) => {
    convertIdentityRefusals(() => {
      membership.handleNotify(request)
    })
    return {}
  },
  // The requested version is ignored: the response is the newest configuration that this host has.
  fetchConfiguration: () => membership.handleFetchConfiguration(),
})
