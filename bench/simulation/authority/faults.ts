import type {FakeDaemon} from './fake-daemon.ts';
import type {EngineProcess, Network} from './fake-engine.ts';
import type {SharedTable} from './fake-table.ts';
import type {Simulator} from './simulator.ts';

/** Kinds of faults that a schedule can contain. */
export const faultKinds = [
	'daemon-paused',
	'daemon-paused-before-write',
	'daemon-killed',
	'daemon-stopped',
	'daemon-cut-from-table',
	'daemon-cut-from-engines',
	'zone-cut-from-table',
	'table-down',
	'table-loses-answers',
	'table-late',
	'engine-crashes',
	'engine-crashes-in-change',
	'engine-paused',
	'engine-paused-at-connect',
	'connections-slow',
] as const;

/** Kind of a fault. */
export type FaultKind = (typeof faultKinds)[number];

/** A fault of a schedule; times in simulated milliseconds. */
export type Fault = {
	readonly kind: FaultKind;
	readonly at: number;
	readonly durationMs: number;
	/** Index of the daemon or engine that is hit, modulo their number, or of a daemon in the zone that is hit. In faults of one daemon, 0 selects the first daemon that holds a lease, if any does. */
	readonly target: number;
};

/** Components on which faults act. */
export type FaultTargets = {
	readonly simulator: Simulator;
	readonly daemons: readonly FakeDaemon[];
	readonly engines: readonly EngineProcess[];
	readonly table: SharedTable;
	readonly network: Network;
};

/** Upper limit of the extra time to connect while connections are slow; shorter than the 2 s timeout of a call. */
const maxSlowConnectMs = 1900;

/** Schedules the start of a fault at its time and its end after its duration. */
export function scheduleFault(targets: FaultTargets, fault: Fault): void {
	targets.simulator.after(fault.at, () => {
		const end = startFault(targets, fault);
		targets.simulator.after(fault.durationMs, end);
	});
}

function startFault(targets: FaultTargets, fault: Fault): () => void {
	if (fault.kind === 'connections-slow') {
		targets.network.maxExtraConnectMs = maxSlowConnectMs;
		return () => {
			targets.network.maxExtraConnectMs = 0;
		};
	}

	if (fault.kind === 'zone-cut-from-table') {
		return cutZone(targets, fault);
	}

	if (fault.kind.startsWith('daemon')) {
		return startDaemonFault(selectDaemon(targets, fault.target), fault);
	}

	return fault.kind.startsWith('table')
		? startTableFault(targets.table, fault)
		: startEngineFault(targets.engines[fault.target % targets.engines.length]!, fault);
}

/** Partitions all daemons of a zone from the table; they still reach their engines. */
function cutZone({daemons}: FaultTargets, {target}: Fault): () => void {
	const zone = daemons[target % daemons.length]!.parts.availabilityZone;
	const tables = daemons.filter(({parts}) => parts.availabilityZone === zone).map(({parts}) => parts.table);
	for (const table of tables) {
		table.isPartitioned = true;
	}

	return () => {
		for (const table of tables) {
			table.isPartitioned = false;
		}
	};
}

function selectDaemon({daemons}: FaultTargets, target: number): FakeDaemon {
	const holder = daemons.find(daemon => daemon.held !== undefined);
	return target === 0 && holder !== undefined ? holder : daemons[target % daemons.length]!;
}

type StartFault<Target> = (target: Target, durationMs: number) => void;

const daemonFaults: Partial<Record<FaultKind, StartFault<FakeDaemon>>> = {
	'daemon-paused'({parts}, durationMs) {
		parts.actor.pause(durationMs);
	},
	'daemon-paused-before-write'({parts}, durationMs) {
		parts.engine.pauseAtWriteMs = durationMs;
	},
	'daemon-killed'(daemon, durationMs) {
		daemon.restart(durationMs);
	},
	'daemon-stopped'(daemon, durationMs) {
		daemon.stop(durationMs);
	},
	'daemon-cut-from-table'({parts}) {
		parts.table.isPartitioned = true;
	},
	'daemon-cut-from-engines'({parts}) {
		parts.engine.isPartitioned = true;
	},
};

const engineFaults: Partial<Record<FaultKind, StartFault<EngineProcess>>> = {
	'engine-crashes'(engine) {
		engine.crash();
	},
	'engine-crashes-in-change'(engine) {
		engine.crashesDuringChange = true;
	},
	'engine-paused'(engine, durationMs) {
		engine.pause(durationMs);
	},
	'engine-paused-at-connect'(engine, durationMs) {
		engine.pauseAtConnectMs = durationMs;
	},
};

function startDaemonFault(daemon: FakeDaemon, {kind, durationMs}: Fault): () => void {
	daemonFaults[kind]?.(daemon, durationMs);
	const {engine, table} = daemon.parts;
	return () => {
		table.isPartitioned = false;
		engine.isPartitioned = false;
	};
}

function startTableFault({faults}: SharedTable, {kind}: Fault): () => void {
	faults.isDown ||= kind === 'table-down';
	faults.losesAnswers ||= kind === 'table-loses-answers';
	faults.appliesWritesLate ||= kind === 'table-late';
	return () => {
		faults.isDown = false;
		faults.losesAnswers = false;
		faults.appliesWritesLate = false;
	};
}

function startEngineFault(engine: EngineProcess, {kind, durationMs}: Fault): () => void {
	engineFaults[kind]?.(engine, durationMs);
	return () => {
		engine.crashesDuringChange = false;
	};
}
