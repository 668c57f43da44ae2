#pragma once

#include "utilities/turmericctl/operator_client.hpp"

#include <google/protobuf/message.h>
#include <operator.pb.h>
#include <string>

namespace turmeric::ctl
{

namespace v1 = turmericfront::v1;

/// Prints a message as JSON to standard output. Thread safe.
void print_json(const google::protobuf::Message& message);

/// Prints one line for each changed object. Thread safe.
void print_changes(const v1::ApplyReply& reply);

/// Prints balances as a table. Thread safe.
void print_budgets(const v1::ListBudgetsReply& reply);

/// Prints version moves, one a line. Thread safe.
void print_moves(const v1::ListMovesReply& reply);

/// Prints the configuration version in force on each router. Thread safe.
void print_status(const v1::GetStatusReply& reply);

/// Prints to standard error why a call failed, with both versions of each
/// conflicting object, and returns the exit status. Thread safe.
exit_status print_failure(const call_failure& failure);

/// Prints an error in a file or an argument to standard error and returns the
/// exit status. Thread safe.
exit_status print_error(const error& failure);

} // namespace turmeric::ctl
