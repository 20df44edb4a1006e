import type {EngineRole} from '../../src/stand-ins/engine/engine-work.ts';
import type {EngineSpecification} from './simulated-engine.ts';

/** A request of the simulated load. */
export type SimulatedRequest = {
	readonly id: string;
	readonly at: number;
	/** Index of the daemon that takes it. */
	readonly daemonIndex: number;
	readonly customer: string;
	readonly workClass: 'live' | 'patient';
	/** Model or plain service. @default 'model' */
	readonly group?: string;
	readonly promptTokens: number;
	readonly outputTokens: number;
	readonly prefix?: string;
	readonly prefixTokens?: number;
};

/** Time at which an engine's speed changes. */
export type SlowdownFault = {
	readonly at: number;
	readonly engine: string;
	readonly factor: number;
};

/** How daemons decide; the baselines leave parts out. */
export type Policy = {
	readonly routing: 'load' | 'round-robin';
	/** `plain` is one queue in order of arrival with the same room. */
	readonly admission: 'fair' | 'plain';
	readonly hedging: boolean;
	/** `planned` changes roles by the planner; `scheduled` follows a given plan; otherwise roles stay. */
	readonly roles: 'static' | 'planned' | 'scheduled';
};

/** The decisions of the daemon with everything on. */
export const fullPolicy: Policy = {
	routing: 'load', admission: 'fair', hedging: true, roles: 'static',
};

/** Number of prefill engines wanted from a time on. */
export type RoleStep = {
	readonly at: number;
	readonly prefillEngines: number;
};

/** Everything that one simulated run depends on. */
export type Scenario = {
	readonly seed: number;
	readonly engines: readonly EngineSpecification[];
	readonly daemons: number;
	readonly requests: readonly SimulatedRequest[];
	readonly endMs: number;
	readonly policy: Policy;
	/** Shares of customers. @default 1 each */
	readonly shares?: Readonly<Record<string, number>>;
	readonly faults?: readonly SlowdownFault[];
	readonly roleSteps?: readonly RoleStep[];
	/** True when prompts are processed and answers generated on different engines. @default false */
	readonly isDisaggregated?: boolean;
	/** Time that live work may wait for admission. @default 500 */
	readonly maxQueueMs?: number;
	/** Time without service during a role change. @default 5000 */
	readonly roleChangeMs?: number;
};

/** Zones of both deployments. */
export const zones = ['zone-a', 'zone-b', 'zone-c'] as const;

/** Engines spread over the zones. */
export function createEngines(count: number, role: (index: number) => EngineRole = () => 'mixed'): readonly EngineSpecification[] {
	return Array.from({length: count}, (_, index) => ({
		id: `engine-${String(index).padStart(3, '0')}`,
		availabilityZone: zones[index % zones.length]!,
		options: {role: role(index)},
	}));
}
