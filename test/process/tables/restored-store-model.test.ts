import process from 'node:process';
import fc from 'fast-check';
import {
	afterEach, beforeEach, describe, expect, test, vi,
} from 'vitest';
import type {TableAnnouncement} from '../../../src/process/tables/table-sharing.ts';
import {
	bounds, encodeConfiguration, encodeEntry, ModelDaemon, ModelStore,
} from '../../fixtures/restored-store-model.ts';

const daemonCount = 6;
const zones = 2;
const upstreams = 4;
const runMs = 20_000;
/** Time after the last event in which everything settles, in milliseconds. */
const settleMs = 9000;
const tickMs = 50;
/** Calls of one daemon within a second: two tables, each with a wait, a pause and now and then a whole read. */
const maxCallsPerSecond = 16;

const at = fc.integer({min: 500, max: runMs});
const daemon = fc.nat(daemonCount - 1);
const event = fc.oneof(
	{
		weight: 3, arbitrary: fc.record({
			kind: fc.constant('restore' as const), at, copyAgeMs: fc.integer({min: 200, max: 15_000}), awayMs: fc.integer({min: 0, max: 5000}), rewriteMs: fc.integer({min: 0, max: 2000}),
		}),
	},
	{weight: 4, arbitrary: fc.record({kind: fc.constant('configure' as const), at, isValid: fc.boolean()})},
	{weight: 2, arbitrary: fc.record({kind: fc.constantFrom('drain' as const, 'remove' as const, 'restage' as const), at, upstream: fc.nat(upstreams - 1)})},
	{weight: 3, arbitrary: fc.record({kind: fc.constant('writeOthers' as const), at, count: fc.integer({min: 1, max: 12})})},
	fc.record({kind: fc.constant('kill' as const), at, daemon}),
	fc.record({
		kind: fc.constantFrom('cutFromStore' as const, 'cutFromPeers' as const), at, daemon, forMs: fc.integer({min: 0, max: 4000}),
	}),
);
type Event = typeof event extends fc.Arbitrary<infer T> ? T : never;
type NamedAnnouncements = ReadonlyArray<readonly [string, TableAnnouncement]>;
type ModelUpstream = {heartbeatCount: number; isDraining: boolean; isGone: boolean; stage: 'prefill' | 'decode'};

/** Daemons in two availability zones, an operator and upstreams before a store that is restored. */
class Model implements AsyncDisposable {
	readonly violations: string[] = [];
	readonly #store = new ModelStore();
	readonly #daemons: ModelDaemon[] = [];
	readonly #upstreams = new Map<string, ModelUpstream>();
	/** Writes that are due, also again after a restore; those that the store does not take are repeated. */
	readonly #writes: Array<{readonly at: number; readonly write: () => boolean}> = [];
	readonly #versions = new Map<ModelDaemon, number>();
	readonly #disturbedAt = new Map<string, number>();
	#newestVersion = 1;
	#acknowledgedAt = Date.now();
	#storeDisturbedUntil = Number.NEGATIVE_INFINITY;

	constructor() {
		this.#store.put('op', 'config', encodeConfiguration(1));
		for (let index = 0; index < upstreams; index += 1) {
			this.#upstreams.set(`u-${index}`, {
				heartbeatCount: 1, isDraining: false, isGone: false, stage: 'decode',
			});
			this.#writeEntry(`u-${index}`);
		}

		for (let index = 0; index < daemonCount; index += 1) {
			this.#daemons.push(this.#createDaemon(index));
		}
	}

	async run(events: readonly Event[]): Promise<void> {
		const start = Date.now();
		const due = events.toSorted((a, b) => a.at - b.at);
		while (Date.now() - start < runMs + settleMs) {
			for (const next of due.splice(0, due.filter(({at: time}) => time <= Date.now() - start).length)) {
				this.#apply(next);
			}

			this.#tick();
			await vi.advanceTimersByTimeAsync(tickMs);
		}

		this.#checkEnd();
	}

	async [Symbol.asyncDispose](): Promise<void> {
		const closed = Promise.all(this.#daemons.map(async member => member[Symbol.asyncDispose]()));
		await vi.advanceTimersByTimeAsync(10_000);
		await closed;
	}

	#createDaemon(index: number): ModelDaemon {
		return new ModelDaemon(`d-${index}`, index % zones, this.#store, () => this.#daemons);
	}

	#apply(next: Event): void {
		const now = Date.now();
		switch (next.kind) {
			case 'restore': {
				this.#store.restore(next.copyAgeMs, next.awayMs);
				this.#storeDisturbedUntil = Math.max(this.#storeDisturbedUntil, now + next.awayMs + next.rewriteMs + bounds.contactMs);
				this.#scheduleRewrites(now + next.awayMs + next.rewriteMs);
				return;
			}

			case 'configure': {
				if (next.isValid) {
					this.#newestVersion += 1;
					this.#schedule(now, () => this.#writeConfiguration());
				} else {
					this.#schedule(now, () => this.#store.put('op', 'config', encodeConfiguration(-1)));
					this.#schedule(now + 500, () => this.#writeConfiguration());
				}

				return;
			}

			case 'drain':
			case 'remove':
			case 'restage': {
				this.#change(`u-${next.upstream}`, next.kind);
				return;
			}

			case 'writeOthers': {
				for (let count = 0; count < next.count; count += 1) {
					this.#store.put('status', 'unread', String(count));
				}

				return;
			}

			case 'kill': {
				const killed = this.#daemons[next.daemon]!;
				this.#disturbedAt.set(killed.name, now);
				void killed[Symbol.asyncDispose]();
				this.#daemons[next.daemon] = this.#createDaemon(next.daemon);
				return;
			}

			case 'cutFromStore':
			case 'cutFromPeers': {
				const {feed, name} = this.#daemons[next.daemon]!;
				const member = this.#daemons[next.daemon]!;
				this.#disturbedAt.set(name, now + next.forMs + bounds.contactMs);
				const cut = (isCut: boolean) => {
					if (next.kind === 'cutFromStore') {
						feed.isCutOff = isCut;
					} else {
						member.isCutFromPeers = isCut;
					}

					return true;
				};

				cut(true);
				this.#schedule(now + next.forMs, () => cut(false));
			}
		}
	}

	#change(id: string, kind: 'drain' | 'remove' | 'restage'): void {
		const upstream = this.#upstreams.get(id)!;
		upstream.heartbeatCount += 1;
		if (kind === 'restage') {
			upstream.stage = upstream.stage === 'decode' ? 'prefill' : 'decode';
		} else {
			upstream.isDraining = true;
			upstream.isGone ||= kind === 'remove';
		}

		this.#schedule(Date.now(), () => this.#writeEntry(id));
	}

	#scheduleRewrites(time: number): void {
		this.#schedule(time, () => this.#store.read('op', 'config') === encodeConfiguration(this.#newestVersion) || this.#writeConfiguration());
		for (const [id, upstream] of this.#upstreams) {
			this.#schedule(time, () => {
				if (this.#isWritten(id)) {
					return true;
				}

				upstream.heartbeatCount += 1;
				return this.#writeEntry(id);
			});
		}
	}

	/** True if the store has the entry's present content, whatever its heartbeat. */
	#isWritten(id: string): boolean {
		const {isGone, isDraining, stage} = this.#upstreams.get(id)!;
		const value = this.#store.read('servers', id);
		const stored = value === undefined ? undefined : JSON.parse(value) as Partial<ModelUpstream>;
		return isGone ? stored === undefined : stored?.isDraining === isDraining && stored.stage === stage;
	}

	#schedule(time: number, write: () => boolean): void {
		this.#writes.push({at: time, write});
	}

	#writeConfiguration(): boolean {
		this.#acknowledgedAt = Date.now();
		return this.#store.put('op', 'config', encodeConfiguration(this.#newestVersion));
	}

	#writeEntry(id: string): boolean {
		const {isGone, ...entry} = this.#upstreams.get(id)!;
		return this.#store.put('servers', id, isGone ? undefined : encodeEntry(entry));
	}

	#tick(): void {
		for (const write of this.#writes.splice(0)) {
			if (Date.now() < write.at || !write.write()) {
				this.#writes.push(write);
			}
		}

		const announcing = this.#daemons.filter(({isCutFromPeers}) => !isCutFromPeers);
		const announcements = announcing.flatMap(({name, watches}) => watches.flatMap(({announcement}): NamedAnnouncements => announcement === undefined ? [] : [[name, announcement]]));
		for (const member of this.#daemons) {
			member.tick(member.isCutFromPeers ? [] : announcements.filter(([name]) => name !== member.name));
			this.#check(member);
		}
	}

	#check(member: ModelDaemon): void {
		const now = Date.now();
		const {version, name, feed, startedAt} = member;
		if (version < (this.#versions.get(member) ?? 0)) {
			this.violations.push(`${now}: ${name} went back to configuration ${version}`);
		}

		this.#versions.set(member, version);
		const isStable = now >= this.#storeDisturbedUntil + bounds.configApplyMs && now >= (this.#disturbedAt.get(name) ?? 0) + bounds.configApplyMs
			&& now - startedAt >= bounds.contactMs + bounds.configApplyMs;
		if (isStable && now - this.#acknowledgedAt >= bounds.configApplyMs && version < this.#newestVersion && this.#store.read('op', 'config') === encodeConfiguration(this.#newestVersion)) {
			this.violations.push(`${now}: ${name} has configuration ${version}, not ${this.#newestVersion}`);
		}

		const calls = feed.callTimes.filter(time => now - time < 1000).length;
		if (calls > maxCallsPerSecond) {
			this.violations.push(`${now}: ${name} made ${calls} calls in a second`);
		}
	}

	#checkEnd(): void {
		const serving = [...this.#upstreams].filter(([, {isDraining, isGone}]) => !isDraining && !isGone).map(([id, {stage}]) => `${id} ${stage}`);
		const expected = `configuration ${this.#newestVersion} and ${serving.join(', ')}`;
		for (const {name, version, registry} of this.#daemons) {
			const known = registry.serving('model').map(({id, stage}) => `${id} ${stage}`).toSorted();
			const found = `configuration ${version} and ${known.join(', ')}`;
			if (found !== expected) {
				this.violations.push(`end: ${name} has ${found}, not ${expected}`);
			}
		}
	}
}

describe('daemons before a store that is restored from older copies', () => {
	beforeEach(() => {
		vi.useFakeTimers();
	});

	afterEach(() => {
		vi.useRealTimers();
	});

	// STORE_SCHEDULES sets the number of schedules of a run by hand, STORE_SEED their seed.
	test('come to know the newest configuration and list in time, never go back, and call the store seldom', async () => {
		await fc.assert(fc.asyncProperty(fc.array(event, {maxLength: 16}), async events => {
			await using model = new Model();
			await model.run(events);
			expect(model.violations.slice(0, 3)).toEqual([]);
		}), {numRuns: Number(process.env.STORE_SCHEDULES ?? 50), seed: Number(process.env.STORE_SEED ?? 55), endOnFailure: process.env.STORE_SHRINK === undefined});
	}, 600_000);
});
