/** Roles of an engine, named after the work that it accepts. */
export const engineRoles = ['prefill', 'decode', 'mixed'] as const;

/** Role of an engine. */
export type EngineRole = (typeof engineRoles)[number];

/** Engine state that an order asks for; omitted fields stay unchanged. */
export type WantedState = {
	readonly role?: EngineRole;
	readonly model?: string;
	readonly adapters?: readonly string[];
	readonly version?: string;
	/** `true` stops the engine from accepting new work; `false` resumes it. */
	readonly drain?: boolean;
};

/** Order as sent to an engine. */
export type Order = {
	readonly orderId: string;
	readonly fencing: number;
	readonly wanted: WantedState;
};

/** Outcome of sending an order. Only `unknown` means that the engine may or may not have accepted it. */
export type OrderOutcome
	= | {readonly kind: 'accepted'}
		| {readonly kind: 'refused'; readonly status: number}
		| {readonly kind: 'not-sent'; readonly message: string}
		| {readonly kind: 'unknown'; readonly message: string};
