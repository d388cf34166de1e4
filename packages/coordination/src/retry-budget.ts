/**
 * Retry budget, a token bucket: each first attempt adds a fraction of a token and
 * each retry costs one, so that retries stay a fixed share of the traffic and cannot
 * amplify an overload. A small refill per second lets clients with little traffic
 * retry too.
 */

/** Refill and capacity of a budget; one token pays for one retry. */
export interface RetryBudgetLimits {
  /** Tokens added by each first attempt: 0.1 allows one retry for ten first attempts. */
  readonly perFirstTry: number
  /** Tokens added each second, independent of the traffic. */
  readonly perSecond: number
  /** Maximum number of tokens held. */
  readonly maximum: number
}

/** Default limits. */
export const RETRY_BUDGET_LIMITS: RetryBudgetLimits = { perFirstTry: 0.1, perSecond: 1, maximum: 20 }

/** State of a budget at one time. */
export interface RetryBudget {
  /** Number of retries that are allowed now; may have a fraction. */
  readonly tokens: number
  /** Time of the last refill, in monotonic milliseconds. */
  readonly refilledAt: number
}

/** Whether a retry is allowed, and the budget after that decision. */
export interface RetryDecision {
  readonly allowed: boolean
  readonly budget: RetryBudget
}

/**
 * Creates a budget with the tokens of one second.
 *
 * @example
 * openRetryBudget(0, RETRY_BUDGET_LIMITS).tokens // 1
 */
export function openRetryBudget (now: number, limits: RetryBudgetLimits = RETRY_BUDGET_LIMITS): RetryBudget {
  return { tokens: Math.min(limits.perSecond, limits.maximum), refilledAt: now }
}

/**
 * Adds the tokens for one first attempt.
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
 * Takes one token for a retry, if the budget has one.
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
  const elapsedSeconds = Math.max(0, now - budget.refilledAt) / 1000
  const tokens = Math.min(limits.maximum, budget.tokens + elapsedSeconds * limits.perSecond)
  return { tokens, refilledAt: Math.max(now, budget.refilledAt) }
}
