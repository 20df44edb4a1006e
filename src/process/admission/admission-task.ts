import type {Log} from '../log.ts';
import {Task} from '../task.ts';
import type {FairAdmission} from './fair-admission.ts';

const tickIntervalMs = 50;

/** Runs the time-dependent part of admission at a fixed interval. */
export class AdmissionTask extends Task<'tick'> {
	readonly #admission: FairAdmission;

	constructor(log: Log, admission: FairAdmission) {
		super(log);
		this.#admission = admission;
	}

	/** Starts the periodic ticks. */
	run(): void {
		this.start({message: 'tick', intervalMs: tickIntervalMs});
	}

	protected receive(): void {
		this.#admission.tick();
	}
}
