import type {Host} from '../../ports/host-list.ts';
import type {HeldLease} from '../lease/lease-machine.ts';
import {EngineController, type EngineControllerOptions} from './engine-controller.ts';
import {createPlanCheck, writeDecision} from './plan-executor.ts';
import {
	decideTarget, createLoadId, type PlanOptions, type TargetDecision, type TargetFacts,
} from './plan-machine.ts';
import {
	findCurrentStep, parsePlanRow, planKey, type PlanRow, type TargetRow,
} from './plan-row.ts';
import {readTargets} from './plan-store.ts';
import {
	decideReservation, observeReservation, reservationKey, type ReservationObservation,
} from './reservation.ts';

/** Options of the orders of an engine group. */
export type GroupOrdersOptions = EngineControllerOptions & {
	/** Engines of the group that are in the host list. */
	readonly hosts: () => readonly Host[];
	/** All hosts, among which the replacement of a `replace` step is looked up. */
	readonly allHosts: () => readonly Host[];
	/** Holds of plans as last polled. */
	readonly targets: () => readonly TargetRow[];
	readonly plan: PlanOptions;
	readonly loadSpacingMs: number;
};

type Round = {
	readonly held: HeldLease;
	readonly hosts: readonly Host[];
	readonly targets: ReadonlyMap<string, TargetRow>;
};

type PhaseStart = {readonly name: string; readonly startedAt: number};

const maxActionsPerRound = 6;

/** Maximum age of a reading that counts a replica as ready, in milliseconds. */
const maxPeerReadingAgeMs = 1500;

/** Orders the engines of one group while this daemon holds the group's lease. */
export class GroupOrders {
	readonly #options: GroupOrdersOptions;
	readonly #controllers = new Map<string, EngineController>();
	readonly #phaseStarts = new Map<string, PhaseStart>();
	#token = '';
	#reservation: ReservationObservation | undefined;

	constructor(options: GroupOrdersOptions) {
		this.#options = options;
	}

	/** Advances each engine of the group as far as possible now; does nothing without the lease. */
	async runRound(): Promise<void> {
		const held = this.#options.lease();
		if (held !== undefined) {
			await this.#runRoundWithLease(held);
		}
	}

	async #runRoundWithLease(held: HeldLease): Promise<void> {
		if (held.token !== this.#token) {
			this.#token = held.token;
			this.#controllers.clear();
			this.#phaseStarts.clear();
		}

		const hosts = this.#options.hosts();
		const targets = await this.#readTargets(hosts);
		const round: Round = {held, hosts, targets};
		if (targets.size > 0) {
			await Promise.all(hosts.map(async host => this.#controller(host, held).readState(host.address)));
		}

		// Upstreams are handled in sequence, so that each decision sees the phases that earlier decisions have written.
		const currentTargets = new Map(targets);
		for (const host of hosts) {
			const target = currentTargets.get(host.id);
			const controller = this.#controller(host, held);
			if (target !== undefined) {
				const newPhase = await this.#advanceTarget(host, target, {...round, targets: currentTargets});
				if (newPhase !== undefined) {
					currentTargets.set(host.id, {...target, body: {...target.body, phase: newPhase}});
				}
			} else if (controller.hasUnresolvedOrder) {
				await this.#resolvePendingOrder(controller);
			}
		}
	}

	#controller(host: Host, held: HeldLease): EngineController {
		const controller = this.#controllers.get(host.id) ?? new EngineController(this.#options, held, host);
		this.#controllers.set(host.id, controller);
		return controller;
	}

	async #readTargets(hosts: readonly Host[]): Promise<ReadonlyMap<string, TargetRow>> {
		const ids = new Set(hosts.map(host => host.id));
		const isOwn = (target: TargetRow) => ids.has(target.upstream);
		if (!this.#options.targets().some(target => isOwn(target))) {
			return new Map();
		}

		const rows = await readTargets(this.#options.table);
		return new Map(rows.orDefault([]).filter(target => isOwn(target)).map(target => [target.upstream, target]));
	}

	/** Resolves an order that an earlier lease holder left pending at an engine without a plan. */
	async #resolvePendingOrder(controller: EngineController): Promise<void> {
		for (let count = 0; count < maxActionsPerRound && controller.hasUnresolvedOrder; count += 1) {
			if (!await controller.step()) {
				return;
			}
		}
	}

	/** Advances one upstream of a plan; returns its new phase when it changed. */
	async #advanceTarget(host: Host, target: TargetRow, round: Round): Promise<TargetRow['body']['phase'] | undefined> {
		const row = await this.#options.table.get(planKey(target.body.planId));
		const plan = row.orDefault(undefined);
		if (plan === undefined) {
			return undefined;
		}

		const planRow = parsePlanRow(plan);
		const controller = this.#controller(host, round.held);
		for (let count = 0; count < maxActionsPerRound; count += 1) {
			const facts = await this.#collectFacts(host, target, planRow, round);
			const decision = decideTarget(facts, this.#options.clock.now(), this.#options.plan);
			const isWritten = await this.#recordDecision(decision, {
				target, plan: planRow, facts, held: round.held,
			});
			if (decision.kind !== 'wait') {
				this.#options.log.info('A plan advances at an upstream.', {upstream: host.id, decision, isWritten});
				return isWritten && decision.kind === 'move' ? decision.phase : undefined;
			}

			const goal = decision.goal === undefined ? undefined : {...decision.goal, planCheck: createPlanCheck(planRow)};
			if (isWritten || !await controller.step(goal)) {
				return undefined;
			}
		}

		return undefined;
	}

	async #recordDecision(
		decision: TargetDecision,
		context: {readonly target: TargetRow; readonly plan: PlanRow; readonly facts: TargetFacts; readonly held: HeldLease},
	): Promise<boolean> {
		// Reads the lease again: its row may have been renewed since the round began, which changes the revision.
		const held = this.#options.lease();
		const {group, table} = this.#options;
		return held?.token === context.held.token && writeDecision(table, decision, {
			...context, held, group, reservation: this.#reservation ?? {revision: 0, load: '', firstSeenAt: 0},
		});
	}

	async #collectFacts(host: Host, target: TargetRow, plan: PlanRow, round: Round): Promise<TargetFacts> {
		const engine = this.#controller(host, round.held).facts;
		const base = {upstream: host.id, plan: plan.body, engine};
		const action = plan.body.steps[findCurrentStep(plan.body, host.id)]?.action;
		return {
			...base,
			target: target.body,
			phaseSince: this.#recordPhaseStart(target),
			readyPeers: this.#countReadyPeers(host, round),
			isGroupBusy: [...round.targets.values()].some(other =>
				other.upstream !== host.id && ['draining', 'changing', 'undraining'].includes(other.body.phase)),
			isReplacementReady: action?.kind === 'replace' && await this.#isReplacementReady(action.replacement, host, engine.reading?.state.model),
			reservation: action?.kind === 'load' && target.body.phase === 'draining' ? await this.#decideReservation(createLoadId(base)) : 'wait',
		};
	}

	#recordPhaseStart({upstream, body}: TargetRow): number {
		const name = `${body.planId} ${body.phase}`;
		const last = this.#phaseStarts.get(upstream);
		const start = last?.name === name ? last : {name, startedAt: this.#options.clock.now()};
		this.#phaseStarts.set(upstream, start);
		return start.startedAt;
	}

	#countReadyPeers(host: Host, {hosts, targets, held}: Round): number {
		const model = this.#controller(host, held).facts.reading?.state.model ?? host.serves;
		const oldestStartedAt = this.#options.clock.now() - maxPeerReadingAgeMs;
		return hosts.filter(peer => {
			const {reading} = this.#controller(peer, held).facts;
			const state = reading !== undefined && reading.startedAt >= oldestStartedAt ? reading.state : undefined;
			const phase = targets.get(peer.id)?.body.phase ?? 'waiting';
			return peer.id !== host.id && peer.state === 'live' && phase === 'waiting'
				&& state?.phase === 'ready' && !state.draining && state.model === model;
		}).length;
	}

	async #isReplacementReady(id: string, host: Host, model: string | undefined): Promise<boolean> {
		const replacement = this.#options.allHosts().find(candidate => candidate.id === id);
		if (replacement?.state !== 'live' || replacement.availabilityZone !== host.availabilityZone) {
			return false;
		}

		const state = await this.#options.engine.readState(replacement.address);
		return state.map(value => value.phase === 'ready' && !value.draining && value.model === model).orDefault(false);
	}

	async #decideReservation(load: string) {
		const row = await this.#options.table.get(reservationKey);
		const now = this.#options.clock.now();
		row.ifRight(value => {
			this.#reservation = observeReservation(this.#reservation, value, now);
		});
		return row.isLeft() || this.#reservation === undefined
			? 'wait' as const
			: decideReservation(this.#reservation, load, now, this.#options.loadSpacingMs);
	}
}
