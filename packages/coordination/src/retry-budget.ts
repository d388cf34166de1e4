/**
 * Retry budget: retries are paid from what first tries have earned, so that they
 * stay a fixed share of the traffic and cannot make an overload grow. A small
 * allowance per second keeps a quiet client able to retry at all.
 */

/** What a budget earns and holds, in retries. */
export interface RetryBudgetLimits {
  /** Earned by each first try: 0.1 allows one retry to ten first tries. */
  readonly perFirstTry: number
  /** Earned each second whatever the traffic. */
  readonly perSecond: number
  /** Most that is saved up. */
  readonly maximum: number
}

/** Limits that suit most callers. */
export const RETRY_BUDGET_LIMITS: RetryBudgetLimits = { perFirstTry: 0.1, perSecond: 1, maximum: 20 }

/** A budget at a moment. */
export interface RetryBudget {
  /** Retries that can be paid. */
  readonly tokens: number
  /** Monotonic milliseconds up to which the allowance per second is counted. */
  readonly countedTo: number
}

/** What asking for a retry gave. */
export interface RetryDecision {
  readonly allowed: boolean
  readonly budget: RetryBudget
}

/**
 * A budget with one second's allowance.
 *
 * @example
 * openRetryBudget(0, RETRY_BUDGET_LIMITS).tokens // 1
 */
export function openRetryBudget (now: number, limits: RetryBudgetLimits = RETRY_BUDGET_LIMITS): RetryBudget {
  return { tokens: Math.min(limits.perSecond, limits.maximum), countedTo: now }
}

/**
 * Counts a first try.
 *
 * @example
 * const budget = recordFirstTry(openRetryBudget(0), 0)
 * budget.tokens // 1.1
 */
export function recordFirstTry (budget: RetryBudget, now: number, limits: RetryBudgetLimits = RETRY_BUDGET_LIMITS): RetryBudget {
  const current = refill(budget, now, limits)
  return { ...current, tokens: Math.min(limits.maximum, current.tokens + limits.perFirstTry) }
}

/**
 * Asks for one retry and pays for it where the budget holds enough.
 *
 * @example
 * const first = spendRetry(openRetryBudget(0), 0)
 * first.allowed // true
 * spendRetry(first.budget, 0).allowed // false
 */
export function spendRetry (budget: RetryBudget, now: number, limits: RetryBudgetLimits = RETRY_BUDGET_LIMITS): RetryDecision {
  const current = refill(budget, now, limits)
  if (current.tokens < 1) return { allowed: false, budget: current }
  return { allowed: true, budget: { ...current, tokens: current.tokens - 1 } }
}

function refill (budget: RetryBudget, now: number, limits: RetryBudgetLimits): RetryBudget {
  const elapsedSeconds = Math.max(0, now - budget.countedTo) / 1000
  const tokens = Math.min(limits.maximum, budget.tokens + elapsedSeconds * limits.perSecond)
  return { tokens, countedTo: Math.max(now, budget.countedTo) }
}
