/**
 * Addresses of the form `host:port`.
 *
 * @module
 */

/** Splits `host:port`. Brackets around an IPv6 address are removed. */
export function splitAddress (address: string): { host: string, port: number } {
  const at = address.lastIndexOf(':')
  return { host: address.slice(0, at).replace(/^\[|\]$/g, ''), port: Number(address.slice(at + 1)) }
}
