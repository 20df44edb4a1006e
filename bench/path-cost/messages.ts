import {fork, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';

/** Command of the benchmark to one of its worker processes. */
export type Command = {readonly kind: string} & Readonly<Record<string, unknown>>;

/** A worker process of the benchmark; it answers one command at a time. */
export type Worker = AsyncDisposable & {
	readonly ask: <Reply>(command: Command) => Promise<Reply>;
};

/** Starts a module of this folder in a separate process, so that its processor time can be measured separately. */
export function startWorker(module: string, environment: Readonly<Record<string, string>> = {}): Worker {
	const child: ChildProcess = fork(new URL(module, import.meta.url), {env: {...process.env, ...environment}});
	return {
		async ask<Reply>(command: Command): Promise<Reply> {
			const {promise, resolve, reject} = Promise.withResolvers<Reply>();
			const fail = () => {
				reject(new Error(`${module} exited before it answered "${command.kind}"`));
			};

			child.once('exit', fail);
			child.once('message', resolve as (reply: unknown) => void);
			child.send(command);
			const reply = await promise;
			child.off('exit', fail);
			return reply;
		},
		async [Symbol.asyncDispose]() {
			const exit = once(child, 'exit');
			child.kill('SIGKILL');
			await exit;
		},
	};
}

/** Handles commands in a worker process; sends `{}` if a handler returns nothing. */
export function answerCommands(handlers: Readonly<Record<string, (command: Command) => unknown>>): void {
	const answer = async (command: Command) => {
		process.send!(await handlers[command.kind]!(command) ?? {});
	};

	process.on('message', (command: Command) => {
		void answer(command);
	});
}
