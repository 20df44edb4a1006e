import type {EngineRole} from '../../src/stand-ins/engine/engine-work.ts';
import type {EngineSpecification} from './simulated-engine.ts';

/** A request of the simulated load; times in virtual milliseconds. */
export type SimulatedRequest = {
	readonly id: string;
	readonly at: number;
	/** Index of the daemon that receives it. */
	readonly daemonIndex: number;
	readonly customer: string;
	readonly workClass: 'live' | 'patient';
	/** Model or plain service that it is for. @default 'model' */
	readonly group?: string;
	readonly promptTokens: number;
	readonly outputTokens: number;
	readonly prefix?: string;
	readonly prefixTokens?: number;
};

/** Slows an engine down from a time on: the duration of its steps is multiplied by `factor`. */
export type SlowdownFault = {
	readonly at: number;
	readonly engine: string;
	readonly factor: number;
};

/** Decisions that the daemons make; baselines switch some of them off. */
export type Policy = {
	readonly routing: 'load' | 'round-robin';
	/** `fair` is the daemon's admission; `plain` is one first-in, first-out queue with the same capacity. */
	readonly admission: 'fair' | 'plain';
	readonly hedging: boolean;
	/** `planned` changes roles as the role planner decides, `scheduled` follows `roleSteps`, and `static` keeps the initial roles. */
	readonly roles: 'static' | 'planned' | 'scheduled';
};

/** Policy with everything on but role changes. */
export const fullPolicy: Policy = {
	routing: 'load', admission: 'fair', hedging: true, roles: 'static',
};

/** Target number of prefill engines from a time on. */
export type RoleStep = {
	readonly at: number;
	readonly prefillEngines: number;
};

/** Input of one simulated run; runs of the same scenario have the same outcome. */
export type Scenario = {
	readonly seed: number;
	readonly engines: readonly EngineSpecification[];
	readonly daemons: number;
	readonly requests: readonly SimulatedRequest[];
	readonly endMs: number;
	readonly policy: Policy;
	/** Shares by customer; 1 for a customer that isn't listed. @default {} */
	readonly shares?: Readonly<Record<string, number>>;
	readonly faults?: readonly SlowdownFault[];
	readonly roleSteps?: readonly RoleStep[];
	/** True when prefill and decode run on different engines. @default false */
	readonly isDisaggregated?: boolean;
	/** Time that live work may wait for admission, in milliseconds. @default 500 */
	readonly maxQueueMs?: number;
	/** Time without service during a role change as the role planner expects it, in milliseconds; 3 s are added for the drain. @default 5000 */
	readonly roleChangeMs?: number;
};

/** Availability zones of all deployments. */
export const zones = ['zone-a', 'zone-b', 'zone-c'] as const;

/** Creates engines, distributed over the availability zones in turn. */
export function createEngines(count: number, role: (index: number) => EngineRole = () => 'mixed'): readonly EngineSpecification[] {
	return Array.from({length: count}, (_, index) => ({
		id: `engine-${String(index).padStart(3, '0')}`,
		availabilityZone: zones[index % zones.length]!,
		options: {role: role(index)},
	}));
}
