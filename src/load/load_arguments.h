#pragma once

#include "load/load_plan.h"
#include "settings/endpoint.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace guavafront
{

/// Account from "name=N,rate=R[,limit=R,burst=B][,key-file=F]". Throws coordination_error (SettingInvalid,
/// SettingUnknown; FileUnreadable and FileExposed for the key's file).
load_account parseLoadAccount(std::string_view text);

/// Request from "METHOD PATH [WEIGHT]". Throws coordination_error (SettingInvalid).
load_request parseLoadRequest(std::string_view text);

/// Addresses from "IP:PORT". Throws coordination_error (SettingInvalid) naming the option.
std::vector<endpoint> parseEndpoints(std::span<const std::string> texts, std::string_view option);

} // namespace guavafront
