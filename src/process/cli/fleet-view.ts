import {EitherAsync, type Either} from 'purify-ts';
import {HttpEngine, type EngineState} from '../../ports/engine.ts';
import {HttpHostList, type Host} from '../../ports/host-list.ts';
import type {Table} from '../../ports/table.ts';
import type {ChangeFailure} from '../administration/configuration-writer.ts';
import {groupName} from '../lease/candidates.ts';
import type {FleetView} from '../orders/plan-check.ts';
import type {PlanBody} from '../orders/plan-row.ts';
import {listPlans, readTargets} from '../orders/plan-store.ts';

const maxParallelReads = 32;

/** Reads the hosts, the states of the engines that a plan concerns, and the upstreams that other plans hold. */
export async function readFleet(table: Table, hostListUrl: string, plan: PlanBody): Promise<Either<ChangeFailure, FleetView>> {
	return EitherAsync<ChangeFailure, FleetView>(async ({liftEither}) => {
		const list = await new HttpHostList(hostListUrl).read();
		const hosts = await liftEither(list.mapLeft((message): ChangeFailure => ({kind: 'unavailable', message: `the host list cannot be read: ${message}`})));
		const targets = await readTargets(table);
		const plans = await listPlans(table);
		const rows = await liftEither(targets.mapLeft((): ChangeFailure => ({kind: 'unavailable', message: 'the plans cannot be read'})));
		const running = new Set(plans.orDefault([]).filter(other => other.state === 'running').map(other => other.id));
		const holds = rows
			.filter(({body}) => body.planId !== plan.id && (body.phase !== 'drained' || running.has(body.planId)))
			.map(({upstream, body}) => [upstream, body] as const);
		return {hosts, states: await readStates(selectHosts(hosts, plan)), holds: new Map(holds)};
	}).run();
}

/** Selects the hosts that the plan names and all other hosts of their groups. */
function selectHosts(hosts: readonly Host[], plan: PlanBody): readonly Host[] {
	const names = new Set(plan.steps.flatMap(({action, upstreams}) =>
		(action.kind === 'replace' ? [...upstreams, action.replacement] : upstreams)));
	const groups = new Set(hosts.filter(host => names.has(host.id)).map(host => groupName(host.serves, host.availabilityZone)));
	return hosts.filter(host => groups.has(groupName(host.serves, host.availabilityZone)));
}

async function readStates(hosts: readonly Host[]): Promise<ReadonlyMap<string, EngineState>> {
	const engine = new HttpEngine();
	const pending = hosts.filter(host => host.kind === 'engine');
	const states = new Map<string, EngineState>();
	const readPending = async () => {
		for (let host = pending.pop(); host !== undefined; host = pending.pop()) {
			const {id, address} = host;
			const state = await engine.readState(address);
			state.ifRight(value => states.set(id, value));
		}
	};

	await Promise.all(Array.from({length: maxParallelReads}, readPending));
	return states;
}
