/** Kinds of work that an engine takes. */
export const engineRoles = ['prefill', 'decode', 'mixed'] as const;

/** Kind of work that an engine takes. */
export type EngineRole = (typeof engineRoles)[number];

/** Part of an engine's state that an order sets; absent fields stay as they are. */
export type WantedState = {
	readonly role?: EngineRole;
	readonly model?: string;
	readonly adapters?: readonly string[];
	readonly version?: string;
	/** True stops new work, false takes it again. */
	readonly drain?: boolean;
};

/** An order as it is sent to an engine. */
export type Order = {
	readonly orderId: string;
	readonly fencing: number;
	readonly wanted: WantedState;
};

/** What became of an order. Only `unknown` leaves open whether the engine took it. */
export type OrderOutcome
	= | {readonly kind: 'accepted'}
		| {readonly kind: 'refused'; readonly status: number}
		| {readonly kind: 'not-sent'; readonly message: string}
		| {readonly kind: 'unknown'; readonly message: string};
