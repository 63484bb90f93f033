/**
 * Index of workers by free room.
 *
 * Workers stand in cells of a grid: one plane for each number of free accelerators, in it a row for each
 * range of free processors and a column for each range of free memory. A search skips cells in which nothing
 * can fit and cells that cannot hold a better worker than the best one found.
 *
 * @module
 */

import { zeroUnits, type Units } from './units.js'
import type { WorkerNode } from './workerNode.js'

/** Ranges of each of processors and memory. A row of columns is one 32-bit mask. */
const RANGES = 32

/** Upper over lower bound of a range. */
const RANGE_RATIO = 1.18

/** Plane n holds the workers in use with n free accelerators, the last one those with more. The empty ones have as many planes. */
const PLANES_IN_USE = 16
const PLANES = 2 * PLANES_IN_USE

/** Workers that fit and are scored in one cell. */
const MAX_SCORED_PER_CELL = 8

/** Weight of the share left free beside the tilt: the difference between the shares of processors and memory left free. */
const LEFTOVER_WEIGHT = 0.03

/** A way of choosing among workers that fit. */
export interface Choice {
  need: Units
  /** Whether the worker may be used at all. */
  accepts: (node: WorkerNode) => boolean
  /** Added to the score, to rank a worker lower. Not negative. */
  penalty: (node: WorkerNode) => number
}

/** Which free room an index goes by. */
export interface IndexOptions {
  /** Number of the index among those of a worker. */
  slot: 0 | 1
  cpusOf: (node: WorkerNode) => number
  memoryOf: (node: WorkerNode) => number
  planeOf: (node: WorkerNode) => number
}

interface Cell {
  nodes: WorkerNode[]
  /** Bounds above the free room of each worker of the cell. */
  maxCpus: number
  maxMemory: number
}

interface Best {
  node: WorkerNode | undefined
  score: number
}

/** Workers ordered by free room. */
export class FreeIndex {
  private readonly _options: IndexOptions
  private readonly _cells: Array<Cell | undefined> = new Array(PLANES * RANGES * RANGES)
  /** For each plane and row the columns whose cells are not empty. */
  private readonly _columns = new Int32Array(PLANES * RANGES)
  private readonly _planeSizes = new Int32Array(PLANES)
  /** The largest processors and memory of any worker seen. */
  readonly largest: Units = zeroUnits()
  private _lowCpus: Float64Array = new Float64Array(RANGES)
  private _lowMemory: Float64Array = new Float64Array(RANGES)

  constructor (options: IndexOptions) {
    this._options = options
  }

  /** Puts the worker where its free room belongs. */
  update (node: WorkerNode): void {
    if (!node.takesWork) return this.remove(node)
    if (node.capacity.cpus > this.largest.cpus || node.capacity.memory > this.largest.memory) this._rescale(node.capacity)
    const { slot, cpusOf, memoryOf, planeOf } = this._options
    const cpus = cpusOf(node)
    const memory = memoryOf(node)
    const plane = clampPlane(planeOf(node)) + (node.tasks.size ? 0 : PLANES_IN_USE)
    const index = (plane * RANGES + range(cpus, this.largest.cpus)) * RANGES + range(memory, this.largest.memory)
    if (index !== node.cells[slot]) {
      this.remove(node)
      this._insert(node, index)
    }
    const cell = this._cells[index]!
    if (cpus > cell.maxCpus) cell.maxCpus = cpus
    if (memory > cell.maxMemory) cell.maxMemory = memory
  }

  remove (node: WorkerNode): void {
    const { slot } = this._options
    const index = node.cells[slot]
    if (index < 0) return
    const { nodes } = this._cells[index]!
    const last = nodes.pop()!
    if (last !== node) {
      nodes[node.cellPositions[slot]] = last
      last.cellPositions[slot] = node.cellPositions[slot]
    }
    if (!nodes.length) this._clearCell(index)
    this._planeSizes[Math.floor(index / (RANGES * RANGES))]--
    node.cells[slot] = -1
  }

  /** The worker that would be left with processors and memory in balance and little free, or one close to it. In use before empty. */
  tightest (choice: Choice): WorkerNode | undefined {
    const first = clampPlane(choice.need.accelerators)
    return this._tightestOfPlanes(first, PLANES_IN_USE, choice) ??
      this._tightestOfPlanes(PLANES_IN_USE + first, PLANES, choice)
  }

  private _all (): WorkerNode[] {
    const all: WorkerNode[] = []
    for (let row = 0; row < PLANES * RANGES; row++) {
      for (let columns = this._columns[row]; columns; columns &= columns - 1) {
        all.push(...this._cells[row * RANGES + lowestBit(columns)]!.nodes)
      }
    }
    return all
  }

  /** Share of the largest worker that `free` beyond `need` is. */
  leftover (need: Units, cpus: number, memory: number): number {
    return (cpus - need.cpus) / this.largest.cpus + (memory - need.memory) / this.largest.memory
  }

  private _tightestOfPlanes (first: number, end: number, choice: Choice): WorkerNode | undefined {
    for (let plane = first; plane < end; plane++) {
      if (!this._planeSizes[plane]) continue
      const node = this._tightestOfPlane(plane, choice)
      if (node) return node
    }
    return undefined
  }

  private _tightestOfPlane (plane: number, choice: Choice): WorkerNode | undefined {
    const { need } = choice
    const best: Best = { node: undefined, score: Infinity }
    const firstColumns = -1 << range(need.memory, this.largest.memory)
    for (let row = range(need.cpus, this.largest.cpus); row < RANGES; row++) {
      const columns = this._columns[plane * RANGES + row] & firstColumns
      if (!columns) continue
      const lowCpus = Math.max(this._lowCpus[row], need.cpus)
      if (LEFTOVER_WEIGHT * this.leftover(need, lowCpus, need.memory) >= best.score) break
      this._searchRow(plane * RANGES + row, columns, lowCpus, choice, best)
    }
    return best.node
  }

  private _searchRow (row: number, columns: number, lowCpus: number, choice: Choice, best: Best): void {
    for (; columns; columns &= columns - 1) {
      const column = lowestBit(columns)
      const lowMemory = Math.max(this._lowMemory[column], choice.need.memory)
      if (LEFTOVER_WEIGHT * this.leftover(choice.need, lowCpus, lowMemory) >= best.score) return
      this._searchCell(this._cells[row * RANGES + column]!, choice, best)
    }
  }

  private _searchCell (cell: Cell, { need, accepts, penalty }: Choice, best: Best): void {
    if (need.cpus > cell.maxCpus || need.memory > cell.maxMemory) return
    const { cpusOf, memoryOf } = this._options
    let scored = 0
    let maxCpus = 0
    let maxMemory = 0
    for (const node of cell.nodes) {
      const cpus = cpusOf(node)
      const memory = memoryOf(node)
      if (cpus > maxCpus) maxCpus = cpus
      if (memory > maxMemory) maxMemory = memory
      if (need.cpus > cpus || need.memory > memory || !node.fits(need) || !accepts(node)) continue
      const tilt = (cpus - need.cpus) / node.capacity.cpus - (memory - need.memory) / node.capacity.memory
      const score = LEFTOVER_WEIGHT * this.leftover(need, cpus, memory) + Math.abs(tilt) + penalty(node)
      if (score < best.score) {
        best.score = score
        best.node = node
      }
      if (++scored === MAX_SCORED_PER_CELL) return
    }
    cell.maxCpus = maxCpus
    cell.maxMemory = maxMemory
  }

  private _insert (node: WorkerNode, index: number): void {
    const cell = this._cells[index] ??= { nodes: [], maxCpus: 0, maxMemory: 0 }
    node.cells[this._options.slot] = index
    node.cellPositions[this._options.slot] = cell.nodes.push(node) - 1
    this._columns[Math.floor(index / RANGES)] |= 1 << (index % RANGES)
    this._planeSizes[Math.floor(index / (RANGES * RANGES))]++
  }

  private _clearCell (index: number): void {
    const cell = this._cells[index]!
    cell.maxCpus = 0
    cell.maxMemory = 0
    this._columns[Math.floor(index / RANGES)] &= ~(1 << (index % RANGES))
  }

  /** Sets the ranges for a larger worker and puts all workers into their new cells. */
  private _rescale (capacity: Units): void {
    const nodes = this._all()
    for (const node of nodes) this.remove(node)
    this.largest.cpus = Math.max(this.largest.cpus, capacity.cpus)
    this.largest.memory = Math.max(this.largest.memory, capacity.memory)
    this._lowCpus = lowBounds(this.largest.cpus)
    this._lowMemory = lowBounds(this.largest.memory)
    for (const node of nodes) this.update(node)
  }
}

function clampPlane (accelerators: number): number {
  return Math.max(0, Math.min(PLANES_IN_USE - 1, accelerators))
}

/** The range of a free amount. */
function range (free: number, largest: number): number {
  if (free <= 0 || largest <= 0) return 0
  const below = Math.log(largest / free) / Math.log(RANGE_RATIO)
  return Math.max(0, Math.min(RANGES - 1, Math.floor(RANGES - 1 - below)))
}

/** Bound below the amounts of each range. */
function lowBounds (largest: number): Float64Array {
  const bounds = Float64Array.from({ length: RANGES }, (_, i) => largest * RANGE_RATIO ** (i - RANGES + 1) * (1 - 1e-9))
  bounds[0] = 0
  return bounds
}

function lowestBit (mask: number): number {
  return 31 - Math.clz32(mask & -mask)
}
