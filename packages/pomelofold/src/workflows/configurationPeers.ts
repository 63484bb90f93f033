/**
 * Takes the configuration and the proof of its age from peers while this daemon has no recent proof of its own.
 *
 * Load pattern: the store turns some VMs away, or they are cut off from it, while operators add and withdraw keys. Their peers
 * still have a proof, which a VM can use with the age that it has there. Each asks a few peers at a time, and only while its own
 * proof is old; the configuration is transferred only when it is newer, and compressed, since links may be small.
 *
 * @module
 */

import Result from 'true-myth/result'
import type { ActiveConfiguration } from './activeConfiguration.js'
import type { PeerMethods } from '../protocol/peerMessages.js'
import { earlierBy, readClocks, type ClockReading } from '../seams/clockReading.js'
import type { PeerHandlers, PeerTransport } from '../seams/peerTransport.js'
import type { RandomSource } from '../seams/randomSource.js'
import type { Timers, TimerSubscription } from '../seams/timers.js'
import { compressText, decompressText } from '../utils/compressedText.js'
import type { EventLog } from '../utils/eventLog.js'

/** Period of asking, in milliseconds. */
const ASK_PERIOD_MS = 500
/** Peers asked in one period. */
const PEERS_PER_ASK = 3
/** Timeout of a call for a proof, in milliseconds. */
const PROOF_TIMEOUT_MS = 300
/**
 * Timeout of a call for the text of a configuration, in milliseconds: a megabyte on a link of 7 Mbit/s when it cannot be compressed,
 * on one of 1 Mbit/s else.
 */
const TEXT_TIMEOUT_MS = 2_000

/** Options of {@link ConfigurationPeers}. */
export interface ConfigurationPeersOptions {
  configuration: ActiveConfiguration
  /** Names of the peers that may be asked. */
  peers: () => string[]
  transport: PeerTransport
  timers: Timers
  random: RandomSource
  log: EventLog
}

type PeerText = PeerMethods['configurationText']['result']
type PeerProof = PeerMethods['configurationProof']['result']

/** Keeps the proof recent through peers, answers theirs, and logs when the proof is lost and regained. Inactive without teams. */
export class ConfigurationPeers {
  private readonly _options: ConfigurationPeersOptions
  private _timer: TimerSubscription | undefined
  private _asking = false
  private _fetching = false
  /** Peer whose last proof was recent enough. */
  private _lastUsefulPeer: string | undefined
  /** Time at which the loss of the proof was noticed, in milliseconds of the monotonic clock; undefined while there is one. */
  private _lostSinceMs: number | undefined
  /** Compressed text of the version that a peer last asked for. */
  private _compressed: { version: number, bytes: Uint8Array<ArrayBuffer> } | undefined

  constructor (options: ConfigurationPeersOptions) {
    this._options = options
  }

  start (): void {
    this._timer = this._options.timers.every(ASK_PERIOD_MS, () => this._keepProof())
  }

  close (): void {
    this._timer?.cancel()
  }

  /** Handlers of the peers' calls. */
  get handlers (): PeerHandlers {
    return {
      configurationProof: async () => this._ownProof(),
      configurationText: async ({ compressed }) => ({ ...this._ownProof(), ...this._ownText(compressed) })
    }
  }

  private _ownText (compressed: boolean): Pick<PeerText, 'text' | 'compressed'> {
    const { configuration } = this._options
    const { config } = configuration
    if (!config || !compressed) return { text: configuration.encode() ?? null }
    if (this._compressed?.version !== config.version) {
      this._compressed = { version: config.version, bytes: compressText(configuration.encode()!) }
    }
    return { text: null, compressed: this._compressed.bytes }
  }

  private _ownProof (): PeerProof {
    const { config, proofAgeMs } = this._options.configuration
    return { version: config?.version ?? null, ageMs: Number.isFinite(proofAgeMs) ? proofAgeMs : null }
  }

  private async _keepProof (): Promise<void> {
    const { configuration } = this._options
    if (!configuration.config?.teams) return
    this._logProof()
    if (configuration.proofAgeMs <= configuration.options.renewAfterMs || this._asking) return
    this._asking = true
    await Promise.all([configuration.renewFromStore(), this._askPeers()])
    this._asking = false
    this._logProof()
  }

  private async _askPeers (): Promise<void> {
    const newer: Array<{ peer: string, version: number }> = []
    await Promise.all(this._choosePeers().map(async peer => {
      const version = await this._askForProof(peer)
      if (version !== undefined) newer.push({ peer, version })
    }))
    if (newer.length === 0 || this._fetching) return
    // Not awaited, so that peers are asked for their proofs meanwhile.
    this._fetching = true
    this._fetchText(newer.reduce((best, next) => next.version > best.version ? next : best).peer).finally(() => { this._fetching = false })
  }

  /** Asks a peer for its proof. Returns the peer's version if it is newer than the active one. */
  private async _askForProof (peer: string): Promise<number | undefined> {
    const { configuration, transport, timers } = this._options
    const sent = readClocks(timers)
    const answer = await transport.call(peer, 'configurationProof', {}, PROOF_TIMEOUT_MS)
    if (answer.isErr || answer.value.version === null) return
    const { version, ageMs } = answer.value
    if (version > configuration.config!.version) return version
    if (ageMs !== null) this._noteProof(peer, version, earlierBy(sent, ageMs))
  }

  private async _fetchText (peer: string): Promise<void> {
    const { configuration, transport, timers, log } = this._options
    const sent = readClocks(timers)
    const answer = await transport.call(peer, 'configurationText', { compressed: true }, TEXT_TIMEOUT_MS)
    if (answer.isErr) return log.event('warn', 'configuration.fetch.failed', { peer, detail: answer.error.message })
    const { text, compressed, ageMs } = answer.value
    if (text === null && !compressed) return
    const version = (compressed ? decompressText(compressed) : Result.ok<string, string>(text!)).andThen(configuration.options.decode)
    if (version.isErr) return log.event('error', 'configuration.unreadable', { peer, detail: version.error })
    configuration.note(version.value, undefined, { source: peer })
    if (ageMs !== null) this._noteProof(peer, version.value.config.version, earlierBy(sent, ageMs))
  }

  private _noteProof (peer: string, version: number, provenAt: ClockReading): void {
    const { configuration } = this._options
    configuration.noteProof(version, provenAt)
    if (configuration.proofAgeMs <= configuration.options.renewAfterMs) this._lastUsefulPeer = peer
  }

  /** The peer that was last of use, and others at random. */
  private _choosePeers (): string[] {
    const { peers, random } = this._options
    const others = peers()
    const first = others.indexOf(this._lastUsefulPeer ?? '')
    const chosen = first < 0 ? [] : others.splice(first, 1)
    while (chosen.length < PEERS_PER_ASK && others.length > 0) chosen.push(...others.splice(random.int(others.length), 1))
    return chosen
  }

  private _logProof (): void {
    const { configuration, timers, log } = this._options
    const { proofAgeMs } = configuration
    const lost = proofAgeMs > configuration.options.lostAfterMs
    if (lost === (this._lostSinceMs !== undefined)) return
    const fields = { version: configuration.config!.version, proofAgeMs: Math.round(proofAgeMs) }
    if (lost) log.event('warn', 'configuration.proof.lost', fields)
    else log.event('info', 'configuration.proof.regained', { ...fields, lostForMs: Math.round(timers.now() - this._lostSinceMs!), peer: this._lastUsefulPeer })
    this._lostSinceMs = lost ? timers.now() : undefined
  }
}
