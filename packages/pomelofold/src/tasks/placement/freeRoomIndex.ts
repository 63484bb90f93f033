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
const RANGE_COUNT = 32

/** Upper over lower bound of a range. */
const RANGE_RATIO = 1.18

/** Plane n holds the workers in use with n free accelerators, the last one those with more. The empty ones have as many planes. */
const IN_USE_PLANE_COUNT = 16
const PLANE_COUNT = 2 * IN_USE_PLANE_COUNT

/** Workers that fit and are scored in one cell: of those in use, and of the empty ones. */
const MAX_SCORED_IN_USE = 8
const MAX_SCORED_EMPTY = 256

/** Weight of the share left free beside the tilt: the difference between the shares of processors and memory left free. */
const LEFTOVER_WEIGHT = 0.03

/** A way of choosing among workers that fit. */
export interface WorkerQuery {
  need: Units
  /** Whether the worker may be used at all. */
  accepts: (node: WorkerNode) => boolean
  /** Added to the score, to rank a worker lower. Not negative. */
  penalty: (node: WorkerNode) => number
}

/** Which free room an index goes by. */
export interface FreeRoomIndexOptions {
  /** Number of the index among those of a worker. */
  indexNumber: 0 | 1
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

interface BestMatch {
  node: WorkerNode | undefined
  score: number
}

/** Workers ordered by free room. */
export class FreeRoomIndex {
  private readonly _options: FreeRoomIndexOptions
  private readonly _cells: Array<Cell | undefined> = new Array(PLANE_COUNT * RANGE_COUNT * RANGE_COUNT)
  /** For each plane and row the columns whose cells are not empty. */
  private readonly _columnMasks = new Int32Array(PLANE_COUNT * RANGE_COUNT)
  private readonly _planeSizes = new Int32Array(PLANE_COUNT)
  /** The largest processors and memory of any worker seen. */
  readonly largest: Units = zeroUnits()
  private _minCpusOfRows: Float64Array = new Float64Array(RANGE_COUNT)
  private _minMemoryOfColumns: Float64Array = new Float64Array(RANGE_COUNT)

  constructor (options: FreeRoomIndexOptions) {
    this._options = options
  }

  /** Puts the worker where its free room belongs. */
  update (node: WorkerNode): void {
    if (!node.takesWork) return this.remove(node)
    if (node.capacity.cpus > this.largest.cpus || node.capacity.memory > this.largest.memory) this._rescale(node.capacity)
    const { indexNumber, cpusOf, memoryOf, planeOf } = this._options
    const cpus = cpusOf(node)
    const memory = memoryOf(node)
    const plane = clampPlane(planeOf(node)) + (node.tasks.size ? 0 : IN_USE_PLANE_COUNT)
    const index = (plane * RANGE_COUNT + rangeOf(cpus, this.largest.cpus)) * RANGE_COUNT + rangeOf(memory, this.largest.memory)
    if (index !== node.cellIndexes[indexNumber]) {
      this.remove(node)
      this._insert(node, index)
    }
    const cell = this._cells[index]!
    if (cpus > cell.maxCpus) cell.maxCpus = cpus
    if (memory > cell.maxMemory) cell.maxMemory = memory
  }

  remove (node: WorkerNode): void {
    const { indexNumber } = this._options
    const index = node.cellIndexes[indexNumber]
    if (index < 0) return
    const { nodes } = this._cells[index]!
    const last = nodes.pop()!
    if (last !== node) {
      nodes[node.cellPositions[indexNumber]] = last
      last.cellPositions[indexNumber] = node.cellPositions[indexNumber]
    }
    if (!nodes.length) this._clearCell(index)
    this._planeSizes[Math.floor(index / (RANGE_COUNT * RANGE_COUNT))]--
    node.cellIndexes[indexNumber] = -1
  }

  /** The worker that would be left with processors and memory in balance and little free, or one close to it. In use before empty. */
  findTightestFit (query: WorkerQuery): WorkerNode | undefined {
    const first = clampPlane(query.need.accelerators)
    return this._searchPlanes(first, IN_USE_PLANE_COUNT, query) ??
      this._searchPlanes(IN_USE_PLANE_COUNT + first, PLANE_COUNT, query)
  }

  private _allNodes (): WorkerNode[] {
    const all: WorkerNode[] = []
    for (let row = 0; row < PLANE_COUNT * RANGE_COUNT; row++) {
      for (let columns = this._columnMasks[row]; columns; columns &= columns - 1) {
        all.push(...this._cells[row * RANGE_COUNT + lowestBit(columns)]!.nodes)
      }
    }
    return all
  }

  /** Share of the largest worker that `free` beyond `need` is. */
  leftoverShare (need: Units, cpus: number, memory: number): number {
    return (cpus - need.cpus) / this.largest.cpus + (memory - need.memory) / this.largest.memory
  }

  private _searchPlanes (first: number, end: number, query: WorkerQuery): WorkerNode | undefined {
    for (let plane = first; plane < end; plane++) {
      if (!this._planeSizes[plane]) continue
      const node = this._searchPlane(plane, query)
      if (node) return node
    }
    return undefined
  }

  private _searchPlane (plane: number, query: WorkerQuery): WorkerNode | undefined {
    const { need } = query
    const best: BestMatch = { node: undefined, score: Infinity }
    const fittingColumns = -1 << rangeOf(need.memory, this.largest.memory)
    for (let row = rangeOf(need.cpus, this.largest.cpus); row < RANGE_COUNT; row++) {
      const columns = this._columnMasks[plane * RANGE_COUNT + row] & fittingColumns
      if (!columns) continue
      const minCpus = Math.max(this._minCpusOfRows[row], need.cpus)
      if (LEFTOVER_WEIGHT * this.leftoverShare(need, minCpus, need.memory) >= best.score) break
      this._searchRow(plane * RANGE_COUNT + row, columns, minCpus, query, best)
    }
    return best.node
  }

  private _searchRow (row: number, columns: number, minCpus: number, query: WorkerQuery, best: BestMatch): void {
    for (; columns; columns &= columns - 1) {
      const column = lowestBit(columns)
      const minMemory = Math.max(this._minMemoryOfColumns[column], query.need.memory)
      if (LEFTOVER_WEIGHT * this.leftoverShare(query.need, minCpus, minMemory) >= best.score) return
      this._searchCell(this._cells[row * RANGE_COUNT + column]!, query, best)
    }
  }

  private _searchCell (cell: Cell, { need, accepts, penalty }: WorkerQuery, best: BestMatch): void {
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
      const imbalance = (cpus - need.cpus) / node.capacity.cpus - (memory - need.memory) / node.capacity.memory
      const score = LEFTOVER_WEIGHT * this.leftoverShare(need, cpus, memory) + Math.abs(imbalance) + penalty(node)
      if (score < best.score) {
        best.score = score
        best.node = node
      }
      if (++scored === (node.tasks.size ? MAX_SCORED_IN_USE : MAX_SCORED_EMPTY)) return
    }
    cell.maxCpus = maxCpus
    cell.maxMemory = maxMemory
  }

  private _insert (node: WorkerNode, index: number): void {
    const cell = this._cells[index] ??= { nodes: [], maxCpus: 0, maxMemory: 0 }
    node.cellIndexes[this._options.indexNumber] = index
    node.cellPositions[this._options.indexNumber] = cell.nodes.push(node) - 1
    this._columnMasks[Math.floor(index / RANGE_COUNT)] |= 1 << (index % RANGE_COUNT)
    this._planeSizes[Math.floor(index / (RANGE_COUNT * RANGE_COUNT))]++
  }

  private _clearCell (index: number): void {
    const cell = this._cells[index]!
    cell.maxCpus = 0
    cell.maxMemory = 0
    this._columnMasks[Math.floor(index / RANGE_COUNT)] &= ~(1 << (index % RANGE_COUNT))
  }

  /** Sets the ranges for a larger worker and puts all workers into their new cells. */
  private _rescale (capacity: Units): void {
    const nodes = this._allNodes()
    for (const node of nodes) this.remove(node)
    this.largest.cpus = Math.max(this.largest.cpus, capacity.cpus)
    this.largest.memory = Math.max(this.largest.memory, capacity.memory)
    this._minCpusOfRows = lowerBounds(this.largest.cpus)
    this._minMemoryOfColumns = lowerBounds(this.largest.memory)
    for (const node of nodes) this.update(node)
  }
}

function clampPlane (accelerators: number): number {
  return Math.max(0, Math.min(IN_USE_PLANE_COUNT - 1, accelerators))
}

/** The range of a free amount. */
function rangeOf (free: number, largest: number): number {
  if (free <= 0 || largest <= 0) return 0
  const below = Math.log(largest / free) / Math.log(RANGE_RATIO)
  return Math.max(0, Math.min(RANGE_COUNT - 1, Math.floor(RANGE_COUNT - 1 - below)))
}

/** Bound below the amounts of each range. */
function lowerBounds (largest: number): Float64Array {
  const bounds = Float64Array.from({ length: RANGE_COUNT }, (_, i) => largest * RANGE_RATIO ** (i - RANGE_COUNT + 1) * (1 - 1e-9))
  bounds[0] = 0
  return bounds
}

function lowestBit (mask: number): number {
  return 31 - Math.clz32(mask & -mask)
}
