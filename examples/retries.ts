/** Retries are limited to a fraction of the live requests, and hedges to a fraction of the tokens served. */
import assert from 'node:assert/strict';
import {HedgePolicy, RetryBudget, retryRatio} from '../src/index.ts';

const payer = {customer: 'tuul', upstream: 'e1'};
const budget = new RetryBudget();
const requests = 100;
let retries = 0;
for (let index = 0; index < requests; index += 1) {
	budget.earn(payer);
}

while (budget.take(payer)) {
	retries += 1;
}

// The budget starts with one token, so that the first failure can be retried.
assert.equal(retries, (requests * retryRatio) + 1);

const policy = new HedgePolicy();
for (let index = 0; index < requests; index += 1) {
	policy.recordServed(200, 20);
}

const candidate = {
	isRepeatable: true, hasOutput: false, attempts: 1, tokens: 600, waitedMs: policy.delayMs + 100, prefillMs: 50,
};
assert.ok(!policy.shouldHedge({...candidate, isRepeatable: false}));
assert.ok(!policy.shouldHedge({...candidate, waitedMs: policy.delayMs}));
assert.ok(policy.shouldHedge(candidate));
assert.ok(!policy.shouldHedge(candidate));
console.log(`${retries} retries for ${requests} requests; one hedge of 600 tokens for ${requests * 200} tokens served.`);
