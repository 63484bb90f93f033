/**
 * A promise that is settled by calls from outside.
 *
 * @module
 */

/** A promise with its `resolve` and `reject` functions. Only the first call of either settles it. */
export class ManualPromise<T = void> {
  readonly promise: Promise<T>
  resolve!: (value: T) => void
  reject!: (err: Error) => void
  private _settled = false

  constructor () {
    this.promise = new Promise<T>((resolve, reject) => {
      this.resolve = value => { this._settled = true; resolve(value) }
      this.reject = err => { this._settled = true; reject(err) }
    })
  }

  /** True once the promise has been resolved or rejected. */
  isSettled (): boolean {
    return this._settled
  }
}
