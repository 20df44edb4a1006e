import type {EngineState} from '../../ports/engine.ts';
import type {Host} from '../../ports/host-list.ts';
import type {FleetPlan, PlanAction, PlanStep} from '../../version/fleet-plan.ts';

/** State of the fleet against which a plan is checked. */
export type FleetView = {
	readonly hosts: readonly Host[];
	/** State of each engine that answered. */
	readonly states: ReadonlyMap<string, EngineState>;
	/** Plan that holds each upstream; an upstream that a plan has left drained is not held. */
	readonly holds: ReadonlyMap<string, {readonly planId: string; readonly planName: string; readonly author: string}>;
};

/** Why a step cannot be carried out at an upstream. */
export type PlanRefusal = {
	/** Number of the step, starting at 1. */
	readonly step: number;
	readonly line: number;
	readonly upstream: string;
	readonly reason: string;
};

type Replica = {readonly availabilityZone: string; readonly model: string; readonly isReady: boolean};

type Replicas = ReadonlyMap<string, Replica>;

/** Checks the steps of a plan in order, each against the fleet as the earlier steps would leave it. */
export function checkFleetPlan(plan: FleetPlan, fleet: FleetView): readonly PlanRefusal[] {
	let replicas: Replicas = new Map(fleet.hosts.filter(host => host.kind === 'engine').map(host => [host.id, toReplica(host, fleet)]));
	const refusals: PlanRefusal[] = [];
	for (const [index, step] of plan.steps.entries()) {
		for (const upstream of step.upstreams) {
			const reason = findRefusal(upstream, step, replicas, fleet);
			if (reason !== undefined) {
				refusals.push({
					step: index + 1, line: step.line, upstream, reason,
				});
			}

			replicas = applyAction(replicas, upstream, step.action);
		}
	}

	return refusals;
}

function toReplica(host: Host, {states}: FleetView): Replica {
	const state = states.get(host.id);
	return {
		availabilityZone: host.availabilityZone,
		model: state?.model ?? host.serves,
		isReady: host.state === 'live' && state?.phase === 'ready' && !state.draining,
	};
}

function findRefusal(upstream: string, step: PlanStep, replicas: Replicas, fleet: FleetView): string | undefined {
	const {action} = step;
	const host = fleet.hosts.find(candidate => candidate.id === upstream);
	const replica = replicas.get(upstream);
	const hold = fleet.holds.get(upstream);
	if (host === undefined) {
		return 'it is not in the host list';
	}

	if (replica === undefined) {
		return 'it is a plain service; plans change engines only';
	}

	if (hold !== undefined) {
		return `plan ${hold.planId} (${hold.planName}, ${hold.author}) holds it`;
	}

	if (host.state === 'leaving') {
		return 'it is leaving';
	}

	if (!fleet.states.has(upstream)) {
		return 'its state cannot be read';
	}

	return action.kind === 'undrain' ? undefined : findReplicaRefusal(upstream, replica, action, replicas);
}

function findReplicaRefusal(upstream: string, replica: Replica, action: PlanAction, replicas: Replicas): string | undefined {
	const {model, availabilityZone} = replica;
	const isPeer = (other: Replica) => other.isReady && other.model === model && other.availabilityZone === availabilityZone;
	if (action.kind === 'replace') {
		const replacement = replicas.get(action.replacement);
		if (action.replacement === upstream || replacement === undefined) {
			return `its replacement ${action.replacement} is not another engine of the host list`;
		}

		return isPeer(replacement) ? undefined : `its replacement ${action.replacement} is not ready with model ${model} in ${availabilityZone}`;
	}

	const hasPeer = [...replicas].some(([id, other]) => id !== upstream && isPeer(other));
	return hasPeer || !replica.isReady ? undefined : `it is the last ready replica of ${model} in ${availabilityZone}`;
}

function applyAction(replicas: Replicas, upstream: string, action: PlanAction): Replicas {
	const replica = replicas.get(upstream);
	if (replica === undefined) {
		return replicas;
	}

	const {model = replica.model} = action.kind === 'load' ? action : {};
	const isReady = action.kind !== 'drain' && action.kind !== 'replace';
	return new Map([...replicas, [upstream, {...replica, model, isReady}]]);
}
