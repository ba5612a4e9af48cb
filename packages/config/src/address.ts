/** IP addresses with a port, for example `127.0.0.1:9001` or `[::1]:9001`. */
import { isIPv4, isIPv6 } from 'node:net'

export interface Address {
  /** IP address without brackets. */
  readonly host: string
  readonly port: number
}

const pattern = /^(?:\[([0-9a-fA-F:.]+)\]|([0-9.]+)):(\d{1,5})$/

export const Address = {
  /** Undefined when the text is not an IP address with a port from 0 to 65535. */
  parse: (text: string): Address | undefined => {
    const match = pattern.exec(text)
    const [, v6, v4, portText = ''] = match ?? []
    const port = Number(portText)
    if (match === null || port > 65535) return undefined
    if (v6 !== undefined) return isIPv6(v6) ? { host: v6, port } : undefined
    return v4 !== undefined && isIPv4(v4) ? { host: v4, port } : undefined
  },

  /** Whether the address stands for all addresses of a machine (`0.0.0.0` or `::`). */
  isWildcard: ({ host }: Address): boolean => host === '0.0.0.0' || /^[0:]+$/.test(host),
}
