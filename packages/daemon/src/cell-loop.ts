/**
 * The event loop of all owned cells: a `most` stream of events, each handled by one
 * pure step whose effects are passed on to be performed.
 */
import { asFailure, type CellName, type CornelgaugeError, type Epoch } from '@cornelgauge/model'
import { abandonOwner, createOwner, refuseCall, step, type Instant, type OwnerEffect, type OwnerEvent, type OwnerStart, type OwnerState } from '@cornelgauge/scheduler'
import { Map as ImmutableMap } from 'immutable'
import { Inbox } from '@cornelgauge/coordination'

/** An event of the loop: a cell becomes owned, an owned cell receives an event, or its ownership ends. */
export type LoopEvent =
  | { readonly type: 'own', readonly start: OwnerStart }
  | { readonly type: 'cell', readonly cell: CellName, readonly epoch: Epoch, readonly event: OwnerEvent }
  | { readonly type: 'disown', readonly cell: CellName, readonly epoch: Epoch }

/** The effects of one step of a cell, with the states before and after it. */
export interface CellEffects {
  readonly cell: CellName
  readonly epoch: Epoch
  /** Monotonic time at which the step began. */
  readonly startedAt: number
  readonly milliseconds: number
  /** Undefined if the cell is no longer owned. */
  readonly before?: OwnerState
  /** Undefined if the cell is no longer owned or the step failed. */
  readonly after?: OwnerState
  readonly effects: readonly OwnerEffect[]
  readonly failure?: CornelgaugeError
}

type Cells = ImmutableMap<CellName, OwnerState>

type StepOutcome = Omit<CellEffects, 'startedAt' | 'milliseconds'>

interface LoopStep {
  readonly seed: Cells
  readonly value: StepOutcome | undefined
}

/** Runs the owners of the cells that this VM owns. */
export class CellLoop {
  readonly #inbox = new Inbox<LoopEvent>()
  readonly #now: () => Instant
  #cells: Cells = ImmutableMap()

  constructor (now: () => Instant, perform: (effects: CellEffects) => void) {
    this.#now = now
    this.#inbox.events
      .loop((cells: Cells, event: LoopEvent) => this.#step(cells, event), this.#cells)
      .observe(effects => { if (effects !== undefined) perform(effects) })
      .catch(() => {})
  }

  /** The states of all owned cells, for status and metrics. */
  get cells (): Cells {
    return this.#cells
  }

  /** Puts an event into the loop. */
  put (event: LoopEvent): void {
    this.#inbox.put(event)
  }

  #step (cells: Cells, event: LoopEvent): { seed: Cells, value: CellEffects | undefined } {
    const at = this.#now()
    const { seed, value } = LOOP_HANDLERS[event.type](cells, event as never, at)
    this.#cells = seed
    const milliseconds = this.#now().monotonic - at.monotonic
    return { seed, value: value === undefined ? undefined : { ...value, startedAt: at.monotonic, milliseconds } }
  }
}

type LoopHandler<Type extends LoopEvent['type']> = (cells: Cells, event: Extract<LoopEvent, { type: Type }>, at: Instant) => LoopStep

const LOOP_HANDLERS: { readonly [Type in LoopEvent['type']]: LoopHandler<Type> } = {
  own: (cells, { start }, at) => stepCell(cells.set(start.cell, createOwner(start)), start.cell, start.epoch, { type: 'tick' }, at),
  cell: (cells, { cell, epoch, event }, at) => stepCell(cells, cell, epoch, event, at),
  disown: (cells, { cell, epoch }) => ({ seed: cells.get(cell)?.epoch === epoch ? cells.delete(cell) : cells, value: undefined })
}

/**
 * Runs one step of a cell. For an event of an earlier epoch, calls are refused and
 * everything else is ignored. If the step throws, the cell is given up.
 */
function stepCell (cells: Cells, cell: CellName, epoch: Epoch, event: OwnerEvent, at: Instant): LoopStep {
  const state = cells.get(cell)
  if (state === undefined || state.epoch !== epoch) return { seed: cells, value: { cell, epoch, effects: refuseCall(event) } }
  try {
    const result = step(state, event, at)
    return { seed: cells.set(cell, result.state), value: { cell, epoch, before: state, after: result.state, effects: result.effects } }
  } catch (thrown) {
    const failure = asFailure(thrown)
    return { seed: cells.delete(cell), value: { cell, epoch, before: state, effects: [...refuseCall(event), ...abandonOwner(state)], failure } }
  }
}
